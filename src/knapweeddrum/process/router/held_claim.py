"""A claim that this router won."""

from __future__ import annotations

from knapweeddrum.message.call.outcome_request import OutcomeRequest
from knapweeddrum.process.router.outcome_recorder import OutcomeRecorder
from knapweeddrum.value.identifiers import ClaimKey

DONE = "done"
NOT_RUN = "not_run"
UNKNOWN = "unknown"


class HeldClaim:
    """The sole right to dispatch a request once, and the duty to record what came."""

    def __init__(
        self, recorder: OutcomeRecorder, claim_key: ClaimKey, claimant: str
    ) -> None:
        self.claim_key = claim_key
        self.claimant = claimant
        self._recorder = recorder
        self._is_dispatched = False
        self._is_recorded = False

    def dispatch(self) -> None:
        """Take note that the request is being sent, from now on maybe run."""
        self._is_dispatched = True

    def lost(self) -> None:
        """Take note that another holds the key: there is nothing to record."""
        self._is_recorded = True

    def not_sent(self) -> None:
        """Take note that no byte of the request left."""
        self._is_dispatched = False

    async def done(self, status: int, content_type: str, body: bytes) -> None:
        """Record the answer; returns once it is on the log or after a bounded wait."""
        self._is_recorded = True
        outcome = OutcomeRequest(
            claim_key=self.claim_key,
            claimant=self.claimant,
            state=DONE,
            status=status,
            content_type=content_type,
            body=body,
        )
        await self._recorder.record(outcome)

    async def give_up(self) -> None:
        """Record that there is no answer, with the same bounded wait."""
        self._is_recorded = True
        await self._recorder.record(self._without_answer())

    def close(self) -> None:
        """Record in the background whatever was left unrecorded."""
        if self._is_recorded:
            return
        self._is_recorded = True
        self._recorder.start(self._without_answer())

    def _without_answer(self) -> OutcomeRequest:
        return OutcomeRequest(
            claim_key=self.claim_key,
            claimant=self.claimant,
            state=UNKNOWN if self._is_dispatched else NOT_RUN,
        )
