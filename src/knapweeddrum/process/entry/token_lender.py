"""Lends prepaid tokens to other hosts."""

from __future__ import annotations

import time

import msgspec

from knapweeddrum.core.prepaid.token_verdict import TokenVerdict
from knapweeddrum.message.call.token_loan import TokenLoanReply, TokenLoanRequest
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.page_server import PageAnswer
from knapweeddrum.process.entry.token_allocator import TokenAllocator
from knapweeddrum.telemetry import counters
from knapweeddrum.telemetry.events import TOKENS_LENT

LOAN_CLAIM_TIMEOUT_SECONDS = 0.1
"""Timeout of a claim for another host, shorter than that host's wait for a reply."""


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
        try:
            req = msgspec.json.decode(body, type=TokenLoanRequest)
        except msgspec.MsgspecError:
            return PageAnswer(400)
        account = self._ctx.token_accounts.account(req.organisation, time.monotonic())
        shortfall = max(1, req.shortfall)
        wanted = max(shortfall, req.wanted)
        await self._allocator.unlock(req.organisation, wanted)
        if req.may_claim and shortfall > account.free:
            await self._claim(req.organisation, shortfall)
        tokens = account.lend(shortfall, wanted)
        if tokens:
            account.record_demand(tokens, time.monotonic())
        self._ctx.metrics.count(counters.LOAN_GIVEN if tokens else counters.LOAN_DENIED)
        self._ctx.events.emit(
            TOKENS_LENT,
            organisation=req.organisation,
            shortfall=req.shortfall,
            tokens=tokens,
            free=account.free,
        )
        reply = TokenLoanReply(tokens, self._ctx.store_age(time.monotonic()))
        return PageAnswer(200, msgspec.json.encode(reply))

    async def _claim(self, organisation: str, tokens: int) -> None:
        """Claim tokens that no host has claimed, and leave them free at this host."""
        if (
            self._ctx.token_accounts.max_reservable(organisation, time.monotonic())
            < tokens
        ):
            return
        verdict = await self._allocator.claim(
            organisation, tokens, LOAN_CLAIM_TIMEOUT_SECONDS
        )
        if verdict is TokenVerdict.RESERVED:
            self._allocator.settle(organisation, tokens, 0)
