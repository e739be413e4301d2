"""Unlocking of claimed tokens with the consent of this host's witnesses."""

from __future__ import annotations

import time

import anyio

from knapweeddrum.message.call.token_opening import (
    TokenUnlockReply,
    TokenUnlockRequest,
    UnlockedLimit,
)
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.peer_client import PeerClient
from knapweeddrum.telemetry.events import OPENING_REFUSED

UNLOCK_PATH = b"/openings"
UNLOCK_INTERVAL_SECONDS = 0.25
"""Interval at which tokens are unlocked ahead of demand."""


class TokenUnlocker:
    """Asks the witnesses of this host's claims to raise the unlocked limits.

    A witness is another host. Tokens past the unlocked limit may be spent only with the
    witness's consent, so that the witness can safely release them if this host fails.
    """

    def __init__(self, ctx: EntryContext, peers: PeerClient) -> None:
        self._ctx = ctx
        self._peers = peers

    async def run(self) -> None:
        """Unlock tokens ahead of demand until cancelled."""
        while True:
            await anyio.sleep(UNLOCK_INTERVAL_SECONDS)
            await self._unlock_ahead()

    async def unlock(self, organisation: str, tokens: int) -> None:
        """Unlock until ``tokens`` are free, as far as claimed tokens suffice."""
        now = time.monotonic()
        if self._ctx.token_accounts.may_unlock(organisation, now):
            witness = self._ctx.token_accounts.account(organisation, now).witness
            await self._ask(witness, [self._next_limit(organisation, tokens)])

    async def _unlock_ahead(self) -> None:
        now = time.monotonic()
        limits_by_witness: dict[str, list[UnlockedLimit]] = {}
        for organisation in self._ctx.token_accounts.organisations_to_unlock(now):
            witness = self._ctx.token_accounts.account(organisation, now).witness
            limits_by_witness.setdefault(witness, []).append(
                self._next_limit(organisation, 0)
            )
        for witness, limits in limits_by_witness.items():
            await self._ask(witness, limits)

    def _next_limit(self, organisation: str, tokens: int) -> UnlockedLimit:
        now = time.monotonic()
        account = self._ctx.token_accounts.account(organisation, now)
        limit = min(account.claimed, account.next_unlocked_limit(tokens, now))
        return UnlockedLimit(organisation, limit)

    async def _ask(self, witness: str, limits: list[UnlockedLimit]) -> None:
        record = self._ctx.hosts.find(witness)
        if record is None or self._peers.is_unresponsive(record.peer_address):
            return
        req = TokenUnlockRequest(self._ctx.incarnation, witness, limits)
        reply = await self._peers.post(
            record.peer_address, UNLOCK_PATH, req, TokenUnlockReply
        )
        if reply is None:
            return
        now = time.monotonic()
        for wanted in limits:
            if wanted.organisation not in reply.refused:
                self._ctx.token_accounts.record_consent(
                    wanted.organisation, witness, wanted.mark, now
                )
                continue
            self._ctx.token_accounts.record_refusal(wanted.organisation, witness, now)
            self._ctx.events.emit(
                OPENING_REFUSED, organisation=wanted.organisation, witness=witness
            )
