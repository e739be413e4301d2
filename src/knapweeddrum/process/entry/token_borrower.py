"""Borrows prepaid tokens from other hosts."""

from __future__ import annotations

import time

from knapweeddrum.message.call.token_loan import TokenLoanReply, TokenLoanRequest
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.peer_caller import PeerCaller
from knapweeddrum.telemetry import counters
from knapweeddrum.telemetry.events import TOKENS_BORROWED

LOAN_PATH = b"/tokens"
MAX_ASKED = 8
"""Hosts that are asked for one request."""
MAX_CLAIMERS = 2
"""Hosts that are asked to claim for one request."""
CLAIMER_AGE_SECONDS = 2.0
"""A host that the store has not answered for longer is not asked to claim."""
EXTRA_SECONDS = 1.0
"""Demand that is asked for beyond the request that waits."""


class TokenBorrower:
    """Takes tokens from hosts that this one reaches, whether the store does or not.

    The lender debits first; a loan is credited once, when its reply arrives in time.
    A loan whose reply is lost is spent by neither host.
    """

    def __init__(self, ctx: EntryContext, peers: PeerCaller) -> None:
        self._ctx = ctx
        self._peers = peers

    async def borrow(self, organisation: str, tokens: int) -> bool:
        """Borrow what a request lacks; return whether it fits now.

        What other hosts hold is taken first, as that needs no store. Those that the
        store answered last are then asked to claim the rest.
        """
        store_ages: dict[str, float] = {}
        for address in self._lenders(organisation):
            if self._shortfall(organisation, tokens) <= 0:
                return True
            reply = await self._take(address, organisation, tokens, may_claim=False)
            if reply is not None:
                store_ages[address] = reply.store_age
        for address in _claimers(store_ages):
            if self._shortfall(organisation, tokens) <= 0:
                return True
            await self._take(address, organisation, tokens, may_claim=True)
        return self._shortfall(organisation, tokens) <= 0

    def _shortfall(self, organisation: str, tokens: int) -> int:
        account = self._ctx.token_accounts.account(organisation, time.monotonic())
        return tokens - account.free

    async def _take(
        self, address: str, organisation: str, tokens: int, may_claim: bool
    ) -> TokenLoanReply | None:
        """Ask one host and credit what it gives; None if it does not answer in time."""
        now = time.monotonic()
        account = self._ctx.token_accounts.account(organisation, now)
        shortfall = self._shortfall(organisation, tokens)
        extra = int(account.demand_rate(now) * EXTRA_SECONDS)
        req = TokenLoanRequest(organisation, shortfall, shortfall + extra, may_claim)
        reply = await self._peers.ask(address, LOAN_PATH, req, TokenLoanReply)
        if reply is None or reply.tokens <= 0:
            return reply
        account.credit_loan(reply.tokens)
        self._ctx.metrics.count(counters.LOAN_TAKEN)
        self._ctx.events.emit(
            TOKENS_BORROWED,
            organisation=organisation,
            lender=address,
            tokens=reply.tokens,
            free=account.free,
        )
        return reply

    def _lenders(self, organisation: str) -> list[str]:
        """Return the addresses to ask: known holders first, then the others."""
        ctx = self._ctx
        holders = [
            ctx.hosts.find(name)
            for name in ctx.token_accounts.other_holders(organisation)
        ]
        first = [record.peer_address for record in holders if record is not None]
        others = [record.peer_address for record in ctx.hosts.ready_hosts()]
        ctx.rng.shuffle(others)
        addresses = dict.fromkeys([*first, *others])
        silent = [a for a in addresses if self._peers.is_silent(a)]
        return [*(a for a in addresses if a not in silent), *silent][:MAX_ASKED]


def _claimers(store_ages: dict[str, float]) -> list[str]:
    """Return the hosts to ask for a claim, the one nearest to the store first."""
    ranked = sorted(store_ages, key=lambda address: store_ages[address])
    recent = [a for a in ranked if store_ages[a] <= CLAIMER_AGE_SECONDS]
    return recent[:MAX_CLAIMERS]
