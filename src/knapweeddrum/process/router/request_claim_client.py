"""Client for the claims of requests that may run only once."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

import anyio

from knapweeddrum.message.call.claim_reply import ClaimReply
from knapweeddrum.message.call.claim_request import ClaimRequest
from knapweeddrum.message.call.claim_verdict import ClaimVerdict
from knapweeddrum.process.router.backoff import Backoff
from knapweeddrum.process.router.exceptions import refused
from knapweeddrum.process.router.held_request_claim import HeldRequestClaim
from knapweeddrum.process.router.outcome_recorder import OutcomeRecorder
from knapweeddrum.process.router.router_context import RouterContext
from knapweeddrum.rpc.exceptions import RpcError
from knapweeddrum.rpc.keeper_methods import CLAIM
from knapweeddrum.value.identifiers import ClaimKey
from knapweeddrum.value.refusal_reason import RefusalReason
from knapweeddrum.value.retry_reason import RetryReason
from knapweeddrum.value.run_state import RunState

VERDICT_TIMEOUT_SECONDS = 3.0
"""Limit on the wait for the verdict on a claim."""

VERDICT_MAX_AGE_SECONDS = 10.0
"""Age at which a verdict is discarded, counted from the sending of its request."""

CLAIM_RETRY_AFTER_SECONDS = 2.0
FIRST_CLAIM_DELAY_SECONDS = 0.05
LONGEST_CLAIM_DELAY_SECONDS = 1.0

_REFUSAL_BY_VERDICT = {
    ClaimVerdict.PENDING: (RefusalReason.CLAIM_PENDING, RunState.UNKNOWN),
    ClaimVerdict.UNKNOWN: (RefusalReason.OUTCOME_UNKNOWN, RunState.UNKNOWN),
    ClaimVerdict.MISMATCH: (RefusalReason.KEY_REUSED, RunState.NOT_RUN),
    ClaimVerdict.EXPIRED: (RefusalReason.KEY_EXPIRED, RunState.UNKNOWN),
    ClaimVerdict.UNAVAILABLE: (RefusalReason.LOG_UNAVAILABLE, RunState.UNKNOWN),
    ClaimVerdict.NOT_RUN: (RefusalReason.LOG_UNAVAILABLE, RunState.NOT_RUN),
}
"""The refusal for each verdict that neither allows a dispatch nor has an answer.

While the log is unavailable, it is unknown whether another request with the same key
has run.
"""

_RETRYABLE_VERDICTS = {
    ClaimVerdict.PENDING,
    ClaimVerdict.UNAVAILABLE,
    ClaimVerdict.NOT_RUN,
}


class RequestClaimClient:
    """Asks the keeper for the sole right to dispatch a request."""

    def __init__(self, context: RouterContext, recorder: OutcomeRecorder) -> None:
        self._context = context
        self._recorder = recorder

    @contextlib.contextmanager
    def open_claim(self, claim_key: ClaimKey) -> Iterator[HeldRequestClaim]:
        """Provide a claim that is not acquired yet; on exit, record a missing outcome.

        The context covers ``acquire``, as a claim may be won although the verdict was
        lost. Then the keeper must learn that nothing was dispatched.
        """
        claimant = f"{self._context.incarnation}/{self._context.new_id()}"
        claim = HeldRequestClaim(self._recorder, claim_key, claimant)
        try:
            yield claim
        finally:
            claim.record_if_missing()

    async def acquire(
        self, claim: HeldRequestClaim, fingerprint: str, deadline: float
    ) -> ClaimReply | None:
        """Return None when the claim is won, or the reply with a recorded answer.

        Raises RefusedError for all other verdicts. The call is repeated with the same
        claimant, so a repetition cannot lose a claim that was won before.
        ``deadline`` is in monotonic seconds.
        """
        req = ClaimRequest(
            claim_key=claim.claim_key,
            claimant=claim.claimant,
            fingerprint=fingerprint,
        )
        asked_at = self._context.clock()
        timeout = min(VERDICT_TIMEOUT_SECONDS, max(0.0, deadline - asked_at))
        with anyio.move_on_after(timeout):
            reply = await self._call_until_answered(req)
            if reply.verdict is ClaimVerdict.WON:
                self._check_reply_age(asked_at, deadline)
                return None
            if reply.verdict is not ClaimVerdict.UNAVAILABLE:
                claim.mark_lost()
            self._check_recorded(reply)
            return reply
        # This request was not run, but an earlier one with the same key may have been.
        raise refused(
            RefusalReason.LOG_UNAVAILABLE,
            "",
            CLAIM_RETRY_AFTER_SECONDS,
            RunState.UNKNOWN,
        )

    async def _call_until_answered(self, req: ClaimRequest) -> ClaimReply:
        """Repeat the call with backoff until the keeper replies."""
        backoff = Backoff(
            self._context.rng, FIRST_CLAIM_DELAY_SECONDS, LONGEST_CLAIM_DELAY_SECONDS
        )
        while True:
            try:
                return await self._context.keeper.call(
                    CLAIM, req, VERDICT_TIMEOUT_SECONDS
                )
            except RpcError:
                self._context.metrics.count_retry(RetryReason.KEEPER_UNREACHABLE)
            await anyio.sleep(backoff.delay())

    def _check_recorded(self, reply: ClaimReply) -> None:
        """Raise RefusedError unless the reply has a recorded answer."""
        if reply.verdict is ClaimVerdict.DONE:
            if not reply.body_kept:
                raise refused(
                    RefusalReason.KEY_EXPIRED,
                    "the request ran; its answer is no longer kept",
                    run_state=RunState.RAN,
                )
            return
        reason, run_state = _REFUSAL_BY_VERDICT[reply.verdict]
        retry_after = None
        if reply.verdict in _RETRYABLE_VERDICTS:
            retry_after = reply.retry_after or CLAIM_RETRY_AFTER_SECONDS
        raise refused(reason, "", retry_after, run_state)

    def _check_reply_age(self, asked_at: float, deadline: float) -> None:
        """Raise RefusedError if the reply was read too late, as after a pause."""
        now = self._context.clock()
        if now >= deadline:
            raise refused(RefusalReason.DEADLINE, "the deadline passed before dispatch")
        if now - asked_at > VERDICT_MAX_AGE_SECONDS:
            raise refused(
                RefusalReason.LOG_UNAVAILABLE,
                "the verdict on the claim was received too late",
                CLAIM_RETRY_AFTER_SECONDS,
            )
