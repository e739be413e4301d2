"""Unlocking of claimed tokens with the consent of this host's witnesses."""

from __future__ import annotations

import time
from collections.abc import Mapping

import anyio

from knapweeddrum.message.call.token_opening import (
    TokenUnlockReply,
    TokenUnlockRequest,
    UnlockedLimit,
)
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.peer_client import (
    PEER_UNRESPONSIVE_SECONDS,
    PeerClient,
)
from knapweeddrum.telemetry.entry_events import OPENING_REFUSED

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
        self._silent_until: dict[str, float] = {}
        """Until when witnesses that did not answer count as silent."""

    async def run(self) -> None:
        """Unlock tokens ahead of demand until cancelled."""
        while True:
            await anyio.sleep(UNLOCK_INTERVAL_SECONDS)
            await self._unlock_ahead()

    async def unlock(self, organisation: str, tokens: int) -> None:
        """Unlock until ``tokens`` are free, as far as claimed tokens suffice."""
        await self.unlock_all({organisation: tokens})

    async def unlock_all(self, wanted: Mapping[str, int]) -> None:
        """Unlock until so many tokens of each organisation are free."""
        now = time.monotonic()
        limits_by_witness: dict[str, list[UnlockedLimit]] = {}
        for organisation, tokens in wanted.items():
            if not self._ctx.token_accounts.may_unlock(organisation, now):
                continue
            witness = self._ctx.token_accounts.account(organisation, now).witness
            limits_by_witness.setdefault(witness, []).append(
                self._next_limit(organisation, tokens)
            )
        for witness, limits in limits_by_witness.items():
            await self._ask(witness, limits)

    def witnesses(self) -> list[str]:
        """Return the incarnations that may be witnesses, the best first.

        A process that has ended is none. One that is only silent may live, and without
        its consent nothing is spent that it doesn't know of.
        """
        return [name for name in self._ctx.witnesses() if not self._has_ended(name)]

    def _has_ended(self, incarnation: str) -> bool:
        record = self._ctx.hosts.find(incarnation)
        return record is not None and self._peers.has_ended(record.peer_address)

    def silent_witnesses(self) -> frozenset[str]:
        """Return the incarnations that did not answer a short time ago."""
        now = time.monotonic()
        return frozenset(
            name for name, until in self._silent_until.items() if until > now
        )

    async def _unlock_ahead(self) -> None:
        now = time.monotonic()
        organisations = self._ctx.token_accounts.organisations_to_unlock(now)
        await self.unlock_all(dict.fromkeys(organisations, 0))

    def _next_limit(self, organisation: str, tokens: int) -> UnlockedLimit:
        now = time.monotonic()
        account = self._ctx.token_accounts.account(organisation, now)
        limit = min(account.claimed, account.next_unlocked_limit(tokens, now))
        return UnlockedLimit(organisation, limit)

    async def _ask(self, witness: str, limits: list[UnlockedLimit]) -> None:
        record = self._ctx.hosts.find(witness)
        if record is None or self._peers.is_unresponsive(record.peer_address):
            self._record_silence(witness)
            return
        complete_era = self._ctx.claim_recovery.complete_era or 0
        req = TokenUnlockRequest(self._ctx.incarnation, witness, limits, complete_era)
        reply = await self._peers.post(
            record.peer_address, UNLOCK_PATH, req, TokenUnlockReply
        )
        if reply is None:
            self._record_silence(witness)
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

    def _record_silence(self, witness: str) -> None:
        self._silent_until = {
            name: until
            for name, until in self._silent_until.items()
            if until > time.monotonic()
        }
        self._silent_until[witness] = time.monotonic() + PEER_UNRESPONSIVE_SECONDS
