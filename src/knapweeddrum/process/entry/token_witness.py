"""Witness of other hosts' claims."""

from __future__ import annotations

import anyio
import msgspec

from knapweeddrum.core.prepaid.token_claim import TokenClaim
from knapweeddrum.message.call.token_opening import (
    TokenUnlockReply,
    TokenUnlockRequest,
    WitnessDeparture,
)
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.page_server import PageAnswer
from knapweeddrum.process.entry.peer_client import PeerClient
from knapweeddrum.value.documents import decode_json

WITNESS_LEAVE_PATH = b"/witness-leaves"
NO_CONSENT = PageAnswer(409)
"""Answer of another incarnation, or of one that can't consent for the moment."""


class TokenWitness:
    """Decides for this host as the witness of other hosts' claims.

    Holders need its consent to spend past their unlocked limits. When this host stops,
    it tells the holders that it releases no more claims.
    """

    def __init__(self, ctx: EntryContext, peers: PeerClient) -> None:
        self._ctx = ctx
        self._peers = peers

    async def unlock(self, body: bytes) -> PageAnswer:
        """Answer a TokenUnlockRequest of a holder."""
        req = decode_json(body, TokenUnlockRequest)
        if req.witness != self._ctx.incarnation:
            return NO_CONSENT
        if self._ctx.draining:
            return NO_CONSENT
        if not self._ctx.claim_recovery.may_consent(req.holder, req.era):
            return NO_CONSENT
        refused = [
            wanted.organisation
            for wanted in req.marks
            if not self._ctx.claim_witness.unlock(
                req.holder, wanted.organisation, wanted.mark
            )
        ]
        return PageAnswer(200, msgspec.json.encode(TokenUnlockReply(refused)))

    async def record_leave(self, body: bytes) -> PageAnswer:
        """Record that a witness of this host's claims has stopped releasing them."""
        leave = decode_json(body, WitnessDeparture)
        self._ctx.token_accounts.record_witness_leave(leave.witness, leave.freed)
        return PageAnswer(200, msgspec.json.encode(TokenUnlockReply([])))

    async def announce_leave(self) -> None:
        """Stop releasing claims as a witness, and tell the holders."""
        ctx = self._ctx
        ctx.claim_witness.stop_releasing()
        # This host may not have read the claims for some seconds.
        holders = ctx.claim_witness.holders | {
            c.incarnation
            for c in ctx.token_accounts.ledger.locked_claims_of(ctx.incarnation)
        }
        async with anyio.create_task_group() as tasks:
            for holder in sorted(holders):
                tasks.start_soon(self._tell_of_leave, holder)

    async def _tell_of_leave(self, holder: str) -> None:
        record = self._ctx.hosts.find(holder)
        if record is None:
            return
        released = self._ctx.claim_witness.released_organisations(holder)
        leave = WitnessDeparture(self._ctx.incarnation, released)
        await self._peers.post(
            record.peer_address, WITNESS_LEAVE_PATH, leave, TokenUnlockReply
        )


def release_claims_of_failed_hosts(ctx: EntryContext) -> list[TokenClaim]:
    """Release the claims of failed holders; return what remains of each claim."""
    claims = []
    for claim in ctx.token_accounts.ledger.locked_claims_of(ctx.incarnation):
        if ctx.hosts.is_gone(claim.incarnation):
            rest = ctx.claim_witness.release(claim)
            if rest is not None:
                claims.append(rest)
    return claims
