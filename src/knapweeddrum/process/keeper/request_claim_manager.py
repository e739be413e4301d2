"""Claims to run requests that are not idempotent."""

from __future__ import annotations

from collections.abc import Sequence

import anyio

from knapweeddrum.core.claim.request_claim_ledger import RequestClaimLedger
from knapweeddrum.core.replay.fact_outcome import FactOutcome
from knapweeddrum.message.call.claim_reply import ClaimReply
from knapweeddrum.message.call.claim_request import ClaimRequest
from knapweeddrum.message.call.claim_verdict import ClaimVerdict
from knapweeddrum.message.call.outcome_reply import OutcomeReply
from knapweeddrum.message.call.outcome_request import OutcomeRequest
from knapweeddrum.message.fact.request_claim import RequestClaim
from knapweeddrum.message.fact.request_claim_outcome import RequestClaimOutcome
from knapweeddrum.process.keeper.exceptions import KeeperError
from knapweeddrum.process.keeper.keeper_stream import KeeperStream, shard_of

CLAIM_APPEND_TIMEOUT_SECONDS = 2.0
OUTCOME_APPEND_TIMEOUT_SECONDS = 2.0
PENDING_CLAIM_WAIT_SECONDS = 1.0
CLAIM_RETRY_AFTER_SECONDS = 2.0


class RequestClaimManager:
    """Appends claims and outcomes; the order of the log decides which claim wins."""

    def __init__(self, streams: Sequence[KeeperStream[RequestClaimLedger]]) -> None:
        self._streams = streams

    async def claim(self, req: ClaimRequest) -> ClaimReply:
        """Claim a key for one attempt and return the verdict."""
        stream = shard_of(req.claim_key, self._streams)
        try:
            stream.require_state()
            return await self._claim(stream, req)
        except KeeperError:
            # The claim may still reach the log. Only its claimant, which may have won
            # it at another keeper, can say that the request was not dispatched.
            return _unavailable()

    async def record(self, req: OutcomeRequest) -> OutcomeReply:
        """Record the outcome of a claimed request."""
        stream = shard_of(req.claim_key, self._streams)
        fact = RequestClaimOutcome(
            claim_key=req.claim_key,
            claimant=req.claimant,
            state=req.state,
            status=req.status,
            content_type=req.content_type,
            body=req.body,
        )
        try:
            verdict = await stream.appender.append(fact, OUTCOME_APPEND_TIMEOUT_SECONDS)
        except KeeperError:
            return OutcomeReply(accepted=False)
        accepted = verdict.outcome in {FactOutcome.ACCEPTED, FactOutcome.REPEATED}
        return OutcomeReply(accepted=accepted)

    async def _claim(
        self, stream: KeeperStream[RequestClaimLedger], req: ClaimRequest
    ) -> ClaimReply:
        if self._verdict(stream, req).verdict is not ClaimVerdict.NOT_RUN:
            return await self._settled(stream, req)
        fact = RequestClaim(
            claim_key=req.claim_key,
            claimant=req.claimant,
            fingerprint=req.fingerprint,
            issued_at=stream.follower.replay.time,
        )
        await stream.appender.append(fact, CLAIM_APPEND_TIMEOUT_SECONDS)
        return await self._settled(stream, req)

    async def _settled(
        self, stream: KeeperStream[RequestClaimLedger], req: ClaimRequest
    ) -> ClaimReply:
        """Return the verdict; wait a short time while another claim is pending.

        Its outcome may be on the log already and not be applied by this keeper yet.
        """
        reply = self._verdict(stream, req)
        follower = stream.follower
        with anyio.move_on_after(PENDING_CLAIM_WAIT_SECONDS):
            while reply.verdict is ClaimVerdict.PENDING:
                await follower.wait_beyond(
                    follower.replay.position, PENDING_CLAIM_WAIT_SECONDS
                )
                reply = self._verdict(stream, req)
        return reply

    @staticmethod
    def _verdict(
        stream: KeeperStream[RequestClaimLedger], req: ClaimRequest
    ) -> ClaimReply:
        return stream.ledger.verdict(
            req.claim_key, req.claimant, req.fingerprint, req.issued_at or None
        )


def _unavailable() -> ClaimReply:
    return ClaimReply(
        verdict=ClaimVerdict.UNAVAILABLE, retry_after=CLAIM_RETRY_AFTER_SECONDS
    )
