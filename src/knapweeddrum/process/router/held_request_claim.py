"""The claim of this router on one request."""

from __future__ import annotations

from knapweeddrum.message.call.outcome_request import OutcomeRequest
from knapweeddrum.process.router.outcome_recorder import OutcomeRecorder
from knapweeddrum.value.identifiers import ClaimKey

ANSWERED_STATE = "done"
NOT_RUN_STATE = "not_run"
UNKNOWN_STATE = "unknown"


class HeldRequestClaim:
    """The claim of a request, before and after it is won, and its outcome.

    Only the router that won the claim may dispatch the request, and only once. The
    ``mark_`` methods change this object only; the others send to the keeper.
    """

    def __init__(
        self, recorder: OutcomeRecorder, claim_key: ClaimKey, claimant: str
    ) -> None:
        self.claim_key = claim_key
        self.claimant = claimant
        self._recorder = recorder
        self._is_dispatched = False
        self._is_recorded = False

    def mark_dispatched(self) -> None:
        """Mark the request as sent: from now on it may have run."""
        self._is_dispatched = True

    def mark_lost(self) -> None:
        """Mark the claim as not won, so that no outcome is recorded."""
        self._is_recorded = True

    def mark_not_sent(self) -> None:
        """Mark the request as not sent: the endpoint cannot have run it."""
        self._is_dispatched = False

    async def record_answer(self, status: int, content_type: str, body: bytes) -> None:
        """Record the answer; return once it is on the log or after a bounded wait."""
        self._is_recorded = True
        outcome = OutcomeRequest(
            claim_key=self.claim_key,
            claimant=self.claimant,
            state=ANSWERED_STATE,
            status=status,
            content_type=content_type,
            body=body,
        )
        await self._recorder.record(outcome)

    async def record_no_answer(self) -> None:
        """Record that there is no answer; wait as ``record_answer`` does."""
        self._is_recorded = True
        await self._recorder.record(self._outcome_without_answer())

    def record_if_missing(self) -> None:
        """Record in the background that there is no answer, unless one was recorded."""
        if self._is_recorded:
            return
        self._is_recorded = True
        self._recorder.start(self._outcome_without_answer())

    def _outcome_without_answer(self) -> OutcomeRequest:
        return OutcomeRequest(
            claim_key=self.claim_key,
            claimant=self.claimant,
            state=UNKNOWN_STATE if self._is_dispatched else NOT_RUN_STATE,
        )
