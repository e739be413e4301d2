"""Lends prepaid tokens to other hosts."""

from __future__ import annotations

import time

import msgspec

from knapweeddrum.core.prepaid.token_account import TokenAccount
from knapweeddrum.core.prepaid.token_verdict import TokenVerdict
from knapweeddrum.message.call.token_loan import (
    TokenLoanReply,
    TokenLoanRequest,
    TokenReturn,
    TokenReturnReply,
)
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.page_server import PageAnswer
from knapweeddrum.process.entry.token_allocator import TokenAllocator
from knapweeddrum.telemetry import counters
from knapweeddrum.telemetry.entry_events import TOKENS_LENT
from knapweeddrum.value.documents import decode_json

LOAN_CLAIM_TIMEOUT_SECONDS = 0.1
"""Timeout of a claim for another host, shorter than that host's wait for a reply."""
MAX_STORE_AGE_SECONDS = 1e6
"""Age that is told of a store that takes no claims; JSON has no infinity."""
MAX_NAMED_HOLDERS = 4


class TokenLender:
    """Lends tokens to hosts that hold too few, and claims more for them if asked to.

    A loan is debited from this host's account before the reply is sent; the claim of
    this host covers the loan.
    """

    def __init__(self, ctx: EntryContext, allocator: TokenAllocator) -> None:
        self._ctx = ctx
        self._allocator = allocator

    async def lend(self, body: bytes) -> PageAnswer:
        """Answer a TokenLoanRequest of another host."""
        req = decode_json(body, TokenLoanRequest)
        account = self._ctx.token_accounts.account(req.organisation, time.monotonic())
        if self._is_recoverable(req) and not self._recover_lost_loans(req, account):
            return PageAnswer(409)
        shortfall = max(1, req.shortfall)
        wanted = max(shortfall, req.wanted)
        await self._allocator.unlock(req.organisation, wanted)
        if req.may_claim and wanted > account.free:
            await self._claim(req.organisation, shortfall, wanted)
        tokens = self._debit(req, account, shortfall, wanted)
        account.record_lent_demand(
            tokens or req.shortfall, req.shortfall + req.free, time.monotonic()
        )
        self._ctx.metrics.count(counters.LOAN_GIVEN if tokens else counters.LOAN_DENIED)
        self._ctx.events.emit(
            TOKENS_LENT,
            organisation=req.organisation,
            shortfall=req.shortfall,
            tokens=tokens,
            free=account.free,
        )
        return PageAnswer(200, msgspec.json.encode(self._reply(req, tokens)))

    async def take_back(self, body: bytes) -> PageAnswer:
        """Credit the tokens of a TokenReturn, unless this process is about to end."""
        message = decode_json(body, TokenReturn)
        ctx = self._ctx
        tokens = None
        if not ctx.draining and message.lender == ctx.incarnation:
            tokens = ctx.loans.accept_return(
                message.organisation, message.sender, message.total
            )
        if tokens is not None:
            account = ctx.token_accounts.account(message.organisation, time.monotonic())
            account.credit_loan(tokens)
        reply = TokenReturnReply(is_accepted=tokens is not None)
        return PageAnswer(200, msgspec.json.encode(reply))

    def _is_recoverable(self, req: TokenLoanRequest) -> bool:
        """Return whether the request tells what became of this process's loans."""
        return bool(req.borrower) and req.lender == self._ctx.incarnation

    def _recover_lost_loans(self, req: TokenLoanRequest, account: TokenAccount) -> bool:
        """Take back loans that got lost; return False if the request is out of date."""
        lost = self._ctx.loans.begin(
            req.organisation,
            req.borrower,
            req.number,
            req.received,
            req.free,
            time.monotonic(),
        )
        if lost is None:
            return False
        if lost:
            account.cancel_loan(lost)
            self._ctx.metrics.count(counters.LOAN_RECOVERED)
        return True

    def _debit(
        self, req: TokenLoanRequest, account: TokenAccount, shortfall: int, wanted: int
    ) -> int:
        """Debit the loan; a borrower that asks its owner gets all it lacks or none.

        The owner gives all that is wanted, as it claims more when it needs some.
        """
        if req.borrower and account.free < shortfall:
            return 0
        is_owner = not self._ctx.token_owners_before(req.organisation)
        gives_all = bool(req.borrower) and (is_owner or req.shortfall > 0)
        tokens = account.lend(wanted if gives_all else shortfall, wanted)
        if not tokens:
            return 0
        if self._is_recoverable(req):
            self._ctx.loans.record_loan(req.organisation, req.borrower, tokens)
        return tokens

    def _reply(self, req: TokenLoanRequest, tokens: int) -> TokenLoanReply:
        ctx = self._ctx
        now = time.monotonic()
        is_short = not tokens and bool(req.borrower)
        return TokenLoanReply(
            tokens,
            self._store_age(now),
            is_exhausted=is_short and self._is_exhausted(req),
            may_ask_again=is_short and self._is_claimable(req),
            plenty=ctx.token_accounts.plenty(req.organisation, now),
            holders=tuple(self._holders(req)) if is_short else (),
            takes_returns=not ctx.draining,
        )

    def _store_age(self, now: float) -> float:
        """Return the time since the store answered; long if it takes no claims."""
        if not self._allocator.can_claim:
            return MAX_STORE_AGE_SECONDS
        return min(max(0.0, self._ctx.store_age(now)), MAX_STORE_AGE_SECONDS)

    def _is_exhausted(self, req: TokenLoanRequest) -> bool:
        tokens = req.shortfall + req.free
        verdict = self._allocator.refusal_verdict(req.organisation, tokens)
        return verdict is TokenVerdict.EXHAUSTED

    def _is_claimable(self, req: TokenLoanRequest) -> bool:
        """Return whether this host can claim the tokens, once its writes win."""
        if not self._allocator.can_claim:
            return False
        available = self._ctx.token_accounts.max_reservable(
            req.organisation, time.monotonic()
        )
        return req.may_claim and 0 < req.shortfall <= available

    def _holders(self, req: TokenLoanRequest) -> list[str]:
        """Return the addresses of hosts other than the borrower that may lend."""
        borrower = self._ctx.hosts.find(req.borrower)
        own = borrower.peer_address if borrower is not None else ""
        others = [a for a in self._ctx.token_holders(req.organisation) if a != own]
        return others[:MAX_NAMED_HOLDERS]

    async def _claim(self, organisation: str, shortfall: int, wanted: int) -> None:
        """Claim tokens that no host has claimed, and leave them free at this host."""
        available = self._ctx.token_accounts.max_reservable(
            organisation, time.monotonic()
        )
        tokens = min(wanted, available)
        if tokens < shortfall:
            return
        verdict = await self._allocator.claim(
            organisation, tokens, LOAN_CLAIM_TIMEOUT_SECONDS
        )
        if verdict is TokenVerdict.RESERVED:
            self._allocator.settle(organisation, tokens, 0)
