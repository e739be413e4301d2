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
from knapweeddrum.process.entry.peer_caller import PeerCaller
from knapweeddrum.telemetry.events import OPENING_REFUSED

OPENING_PATH = b"/openings"
PERIOD_SECONDS = 0.25
"""Interval at which tokens are unlocked ahead of demand."""


class TokenOpener:
    """Asks the witnesses of this host's claims to raise the unlocked limits.

    A witness is another host. Tokens past the unlocked limit may be spent only with its
    consent, so that it can release them safely if this host fails.
    """

    def __init__(self, ctx: EntryContext, peers: PeerCaller) -> None:
        self._ctx = ctx
        self._peers = peers

    async def run(self) -> None:
        """Unlock tokens ahead of demand until cancelled."""
        while True:
            await anyio.sleep(PERIOD_SECONDS)
            await self._open_ahead()

    async def open(self, organisation: str, tokens: int) -> None:
        """Unlock until ``tokens`` are free, as far as claimed tokens suffice."""
        now = time.monotonic()
        if self._ctx.token_accounts.may_unlock(organisation, now):
            witness = self._ctx.token_accounts.account(organisation, now).witness
            await self._ask(witness, [self._mark(organisation, tokens)])

    async def _open_ahead(self) -> None:
        now = time.monotonic()
        marks: dict[str, list[UnlockedLimit]] = {}
        for organisation in self._ctx.token_accounts.organisations_to_unlock(now):
            witness = self._ctx.token_accounts.account(organisation, now).witness
            marks.setdefault(witness, []).append(self._mark(organisation, 0))
        for witness, wanted in marks.items():
            await self._ask(witness, wanted)

    def _mark(self, organisation: str, tokens: int) -> UnlockedLimit:
        now = time.monotonic()
        account = self._ctx.token_accounts.account(organisation, now)
        mark = min(account.claimed, account.next_unlocked_limit(tokens, now))
        return UnlockedLimit(organisation, mark)

    async def _ask(self, witness: str, marks: list[UnlockedLimit]) -> None:
        record = self._ctx.hosts.find(witness)
        if record is None or self._peers.is_silent(record.peer_address):
            return
        question = TokenUnlockRequest(self._ctx.incarnation, witness, marks)
        reply = await self._peers.ask(
            record.peer_address, OPENING_PATH, question, TokenUnlockReply
        )
        if reply is None:
            return
        now = time.monotonic()
        for wanted in marks:
            if wanted.organisation not in reply.refused:
                self._ctx.token_accounts.record_consent(
                    wanted.organisation, witness, wanted.mark, now
                )
                continue
            self._ctx.token_accounts.record_refusal(wanted.organisation, witness, now)
            self._ctx.events.emit(
                OPENING_REFUSED, organisation=wanted.organisation, witness=witness
            )
