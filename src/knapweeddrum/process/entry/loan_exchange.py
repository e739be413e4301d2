"""Messages of a borrower of prepaid tokens to its lenders."""

from __future__ import annotations

import dataclasses
import time

from knapweeddrum.message.call.token_loan import (
    TokenLoanReply,
    TokenLoanRequest,
    TokenReturn,
    TokenReturnReply,
)
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.peer_client import PeerClient
from knapweeddrum.telemetry import counters
from knapweeddrum.telemetry.entry_events import TOKENS_BORROWED, TOKENS_RETURNED
from knapweeddrum.value.host_record import HostRecord

LOAN_PATH = b"/tokens"
RETURN_PATH = b"/tokens/return"
LOAN_TIMEOUT_SECONDS = 0.3
"""Time limit of a loan by a host that may have to claim the tokens first."""


@dataclasses.dataclass(slots=True)
class _LoanTally:
    """What this host exchanged with one lender, for one organisation."""

    number: int = 0
    received: int = 0
    returned: int = 0


class LoanExchange:
    """Asks lenders for tokens and gives tokens back, so that lost messages lose none.

    It tells each lender what it has received and given back in all. Messages about one
    organisation to one lender must not overlap.
    """

    def __init__(self, ctx: EntryContext, peers: PeerClient) -> None:
        self._ctx = ctx
        self._peers = peers
        self._plenty: dict[str, float] = {}
        self._tallies: dict[tuple[str, str], _LoanTally] = {}
        self._takes_returns: dict[str, bool] = {}

    def plenty(self, organisation: str) -> float:
        """Return the factor, 0 to 1, on what to hold ahead of demand."""
        return self._plenty.get(organisation, 1.0)

    def has_asked(self, lender: HostRecord) -> bool:
        """Return whether a lender has answered a request for a loan."""
        return lender.incarnation in self._takes_returns

    def takes_returns(self, lender: HostRecord) -> bool:
        """Return whether a lender takes back tokens, as far as known."""
        return self._takes_returns.get(lender.incarnation, False)

    async def ask(
        self,
        lender: HostRecord,
        organisation: str,
        shortfall: int,
        wanted: int,
        *,
        may_claim: bool,
    ) -> TokenLoanReply | None:
        """Ask an owner for a loan and credit it; return None if there is no reply."""
        account = self._ctx.token_accounts.account(organisation, time.monotonic())
        tally = self._tally(organisation, lender)
        tally.number += 1
        req = TokenLoanRequest(
            organisation,
            shortfall,
            wanted,
            may_claim,
            borrower=self._ctx.incarnation,
            lender=lender.incarnation,
            number=tally.number,
            received=tally.received,
            free=max(0, account.free),
        )
        reply = await self._peers.post(
            lender.peer_address, LOAN_PATH, req, TokenLoanReply, LOAN_TIMEOUT_SECONDS
        )
        if reply is not None:
            self._plenty[organisation] = reply.plenty
            self._takes_returns[lender.incarnation] = reply.takes_returns
            tally.received += max(0, reply.tokens)
        self._credit(organisation, lender.peer_address, reply)
        return reply

    async def ask_holder(self, address: str, organisation: str, shortfall: int) -> None:
        """Ask any host for tokens that it holds, and credit them."""
        req = TokenLoanRequest(organisation, shortfall, shortfall)
        reply = await self._peers.post(address, LOAN_PATH, req, TokenLoanReply)
        self._credit(organisation, address, reply)

    async def give(self, organisation: str, lender: HostRecord, surplus: int) -> None:
        """Give free tokens back to a lender."""
        account = self._ctx.token_accounts.account(organisation, time.monotonic())
        tokens = account.lend(surplus, surplus)
        tally = self._tally(organisation, lender)
        tally.returned += tokens
        message = TokenReturn(
            organisation, tally.returned, self._ctx.incarnation, lender.incarnation
        )
        reply = await self._peers.post(
            lender.peer_address, RETURN_PATH, message, TokenReturnReply
        )
        if reply is not None and not reply.is_accepted:
            tally.returned -= tokens
            account.cancel_loan(tokens)
            return
        # Without a reply they stay debited; the next message has them in its total.
        self._ctx.metrics.count(counters.LOAN_RETURNED)
        self._ctx.events.emit(
            TOKENS_RETURNED,
            organisation=organisation,
            owner=lender.peer_address,
            tokens=tokens,
            is_known=reply is not None,
        )

    def forget_replaced_hosts(self) -> None:
        """Drop what is known of lenders that have ended."""
        is_replaced = self._ctx.hosts.is_replaced
        for key in [key for key in self._tallies if is_replaced(key[1])]:
            del self._tallies[key]
        for lender in [name for name in self._takes_returns if is_replaced(name)]:
            del self._takes_returns[lender]

    def _tally(self, organisation: str, lender: HostRecord) -> _LoanTally:
        return self._tallies.setdefault(
            (organisation, lender.incarnation), _LoanTally()
        )

    def _credit(
        self, organisation: str, lender: str, reply: TokenLoanReply | None
    ) -> None:
        if reply is None or reply.tokens <= 0:
            return
        account = self._ctx.token_accounts.account(organisation, time.monotonic())
        account.credit_loan(reply.tokens)
        self._ctx.metrics.count(counters.LOAN_TAKEN)
        self._ctx.events.emit(
            TOKENS_BORROWED,
            organisation=organisation,
            lender=lender,
            tokens=reply.tokens,
            free=account.free,
        )
