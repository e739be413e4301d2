"""Borrows prepaid tokens from other hosts."""

from __future__ import annotations

import time

from knapweeddrum.message.call.token_loan import TokenLoanReply, TokenLoanRequest
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.peer_client import PeerClient
from knapweeddrum.telemetry import counters
from knapweeddrum.telemetry.events import TOKENS_BORROWED

LOAN_PATH = b"/tokens"
MAX_LENDERS = 8
"""Hosts that are asked for a loan for one request."""
MAX_CLAIMERS = 2
"""Hosts that are asked to claim tokens for one request."""
MAX_CLAIMER_STORE_AGE_SECONDS = 2.0
"""Time without an answer of the store after which a host is not asked to claim."""
EXTRA_DEMAND_SECONDS = 1.0
"""Time whose expected demand is borrowed in addition to the request's tokens."""


class TokenBorrower:
    """Borrows tokens from other hosts directly, also while the store is unreachable.

    The lender debits its account before it replies; the loan is credited once, when the
    reply arrives in time. If the reply is lost, neither host can spend the loan. Loans
    are not paid back.
    """

    def __init__(self, ctx: EntryContext, peers: PeerClient) -> None:
        self._ctx = ctx
        self._peers = peers

    async def borrow(self, organisation: str, tokens: int) -> bool:
        """Borrow the tokens that a request lacks; return whether enough are free now.

        Hosts first lend what they hold, as that needs no store. Those that the store
        answered most recently are then asked to claim the rest.
        """
        store_ages: dict[str, float] = {}
        for address in self._lenders(organisation):
            if self._shortfall(organisation, tokens) <= 0:
                return True
            reply = await self._request_loan(
                address, organisation, tokens, may_claim=False
            )
            if reply is not None:
                store_ages[address] = reply.store_age
        for address in _rank_claimers(store_ages):
            if self._shortfall(organisation, tokens) <= 0:
                return True
            await self._request_loan(address, organisation, tokens, may_claim=True)
        return self._shortfall(organisation, tokens) <= 0

    def _shortfall(self, organisation: str, tokens: int) -> int:
        account = self._ctx.token_accounts.account(organisation, time.monotonic())
        return tokens - account.free

    async def _request_loan(
        self, address: str, organisation: str, tokens: int, may_claim: bool
    ) -> TokenLoanReply | None:
        """Ask one host for a loan and credit it; return None if there is no reply."""
        now = time.monotonic()
        account = self._ctx.token_accounts.account(organisation, now)
        shortfall = self._shortfall(organisation, tokens)
        extra = int(account.demand_rate(now) * EXTRA_DEMAND_SECONDS)
        req = TokenLoanRequest(organisation, shortfall, shortfall + extra, may_claim)
        reply = await self._peers.post(address, LOAN_PATH, req, TokenLoanReply)
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
        """Return the addresses to ask: known holders first, unresponsive hosts last."""
        ctx = self._ctx
        holders = [
            ctx.hosts.find(name)
            for name in ctx.token_accounts.other_holders(organisation)
        ]
        first = [record.peer_address for record in holders if record is not None]
        others = [record.peer_address for record in ctx.hosts.ready_hosts()]
        ctx.rng.shuffle(others)
        addresses = dict.fromkeys([*first, *others])
        unresponsive = [a for a in addresses if self._peers.is_unresponsive(a)]
        return [*(a for a in addresses if a not in unresponsive), *unresponsive][
            :MAX_LENDERS
        ]


def _rank_claimers(store_ages: dict[str, float]) -> list[str]:
    """Return the hosts to ask for a claim, by how recently the store answered them."""
    ranked = sorted(store_ages, key=lambda address: store_ages[address])
    recent = [a for a in ranked if store_ages[a] <= MAX_CLAIMER_STORE_AGE_SECONDS]
    return recent[:MAX_CLAIMERS]
