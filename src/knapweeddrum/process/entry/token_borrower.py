"""Borrows prepaid tokens from other hosts."""

from __future__ import annotations

import collections
import contextlib
import itertools
import time
from collections.abc import Iterable, Iterator

import anyio
from anyio.abc import TaskGroup

from knapweeddrum.core.prepaid.token_verdict import TokenVerdict
from knapweeddrum.message.call.token_loan import TokenLoanReply
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.loan_exchange import LoanExchange
from knapweeddrum.process.entry.peer_client import PeerClient
from knapweeddrum.value.host_record import HostRecord

CLAIM_TIMEOUT_SECONDS = 0.15
"""Time for which an owner is asked again while other hosts' claims delay its own."""
JOIN_TIMEOUT_SECONDS = 0.3
"""Time for which a request waits for loans that others have asked for."""
MAX_OWNERS_ASKED = 2
"""Hosts that are asked to claim tokens for a request."""
MAX_HOLDERS_ASKED = 4
"""Hosts that are asked for what they hold, if no claim can be had."""
MAX_CLAIMER_STORE_AGE_SECONDS = 2.0
"""Time without an answer of the store after which a host is not expected to claim."""
AHEAD_SECONDS = 1.5
"""Duration of demand for which tokens are borrowed before requests need them."""
KEEP_SECONDS = 4.0
"""Duration of demand beyond which free tokens are given back."""
REFILL_INTERVAL_SECONDS = 0.2
"""Least time between two loans ahead of demand for one organisation."""
RETURN_INTERVAL_SECONDS = 0.5
FORGET_INTERVAL_SECONDS = 60.0
"""Interval at which loans to and from processes that have ended are forgotten."""
HINDERED_SECONDS = 0.3
"""Time for which no loan is asked for after this host's full link lost one."""
MIN_LOST_SECONDS = 0.09
"""Time without an answer from which a full link may have lost it.

An address that refuses connections answers sooner.
"""
RETURN_ALL_TIMEOUT_SECONDS = 0.5
"""Time limit for giving back all free tokens before the process ends."""


class TokenBorrower:
    """Borrows tokens of an organisation from its owner, the host that claims them.

    The lender debits its account before it replies; the loan is credited once, when the
    reply arrives in time. One loan of an organisation is in progress at a time, for all
    requests that wait. Free tokens that are not needed are given back.
    """

    def __init__(self, ctx: EntryContext, peers: PeerClient) -> None:
        self._ctx = ctx
        self._peers = peers
        self._exchange = LoanExchange(ctx, peers)
        self._in_progress: dict[str, anyio.Event] = {}
        """Organisations of which a loan is asked for, and when that has ended."""
        self._waiting_tokens: collections.Counter[str] = collections.Counter()
        self._returning: set[str] = set()
        """Organisations whose tokens are being given back, one message at a time."""
        self._to_refill: set[str] = set()
        self._refill_after: dict[str, float] = {}
        self._hindered_until: dict[str, float] = {}
        self._wake = anyio.Event()

    async def run(self) -> None:
        """Borrow ahead of demand and give back what is not needed, until cancelled."""
        forget_at = time.monotonic() + FORGET_INTERVAL_SECONDS
        return_at = time.monotonic() + RETURN_INTERVAL_SECONDS
        async with anyio.create_task_group() as tasks:
            while True:
                with anyio.move_on_after(max(0.0, return_at - time.monotonic())):
                    await self._wake.wait()
                self._wake = anyio.Event()
                self._start_refills(tasks)
                if time.monotonic() >= return_at:
                    return_at = time.monotonic() + RETURN_INTERVAL_SECONDS
                    tasks.start_soon(self._return_surplus)
                if time.monotonic() >= forget_at:
                    forget_at = time.monotonic() + FORGET_INTERVAL_SECONDS
                    self._ctx.loans.forget(self._ctx.hosts.is_replaced)
                    self._exchange.forget_replaced_hosts()

    async def borrow(self, organisation: str, tokens: int) -> TokenVerdict:
        """Borrow what a request lacks of ``tokens``; RESERVED if they are free now.

        EXHAUSTED and HELD_ELSEWHERE are verdicts of the owner; UNREACHABLE means that
        no host could decide.
        """
        give_up_at = time.monotonic() + JOIN_TIMEOUT_SECONDS
        with self._waiting(organisation, tokens):
            while self._shortfall(organisation, tokens) > 0:
                if self.is_hindered(organisation):
                    return TokenVerdict.UNREACHABLE
                in_progress = self._in_progress.get(organisation)
                if in_progress is None:
                    verdict = await self._borrow_alone(organisation, tokens)
                    has_enough = self._shortfall(organisation, tokens) <= 0
                    return TokenVerdict.RESERVED if has_enough else verdict
                left = give_up_at - time.monotonic()
                if left <= 0:
                    return TokenVerdict.UNREACHABLE
                with anyio.move_on_after(left):
                    await in_progress.wait()
        return TokenVerdict.RESERVED

    def is_hindered(self, organisation: str) -> bool:
        """Return whether this host's own full link lost a loan a short time ago.

        Other questions would be lost as well; a claim needs one answer of the store.
        """
        return self._hindered_until.get(organisation, 0.0) > time.monotonic()

    def refill_soon(self, organisation: str) -> None:
        """Borrow ahead of demand if less than half of what is held ahead is left."""
        if not self._ctx.token_owners_before(organisation):
            return
        now = time.monotonic()
        account = self._ctx.token_accounts.account(organisation, now)
        if now < self._refill_after.get(organisation, 0.0):
            return
        if account.free < self._ahead(organisation) / 2:
            self._refill_after[organisation] = now + REFILL_INTERVAL_SECONDS
            self._to_refill.add(organisation)
            self._wake.set()

    async def return_all(self) -> None:
        """Give back all free tokens, as this process is about to end."""
        with anyio.move_on_after(RETURN_ALL_TIMEOUT_SECONDS):
            async with anyio.create_task_group() as tasks:
                for organisation in self._ctx.token_accounts.active_organisations():
                    tasks.start_soon(self._return, organisation, 0)

    async def _borrow_alone(self, organisation: str, tokens: int) -> TokenVerdict:
        done = self._in_progress[organisation] = anyio.Event()
        try:
            return await self._ask_in_turn(organisation, tokens)
        finally:
            del self._in_progress[organisation]
            done.set()

    async def _ask_in_turn(self, organisation: str, tokens: int) -> TokenVerdict:
        """Ask hosts that claim, then those that hold tokens, until enough are free."""
        owners = self._responsive(self._ctx.token_owners_before(organisation))
        holders: dict[str, None] = {}
        for owner in owners:
            asked_at = time.monotonic()
            reply = await self._ask_owner_repeatedly(owner, organisation, tokens)
            if self._shortfall(organisation, tokens) <= 0:
                return TokenVerdict.RESERVED
            if reply is None:
                if self._was_lost_by_link(organisation, asked_at):
                    return TokenVerdict.UNREACHABLE
                continue
            if reply.is_exhausted:
                return TokenVerdict.EXHAUSTED
            # An owner of the version before names none.
            named = reply.holders or self._ctx.token_holders(organisation)
            holders.update(dict.fromkeys(named))
            if reply.store_age <= MAX_CLAIMER_STORE_AGE_SECONDS:
                await self._ask_holders(holders, organisation, tokens)
                await self._ask_for_rest(owner, organisation, tokens)
                return TokenVerdict.HELD_ELSEWHERE
        if not owners:
            holders.update(dict.fromkeys(self._ctx.token_holders(organisation)))
        await self._ask_holders(holders, organisation, tokens)
        for owner in owners[:1]:
            await self._ask_for_rest(owner, organisation, tokens)
        if not owners and self._shortfall(organisation, tokens) > 0:
            await self._ask_other_claimers(organisation, tokens)
        return TokenVerdict.UNREACHABLE

    def _was_lost_by_link(self, organisation: str, asked_at: float) -> bool:
        now = time.monotonic()
        if now - asked_at < MIN_LOST_SECONDS:
            return False
        if not self._ctx.link_load.was_full_since(asked_at):
            return False
        self._hindered_until[organisation] = now + HINDERED_SECONDS
        return True

    async def _ask_owner_repeatedly(
        self, owner: HostRecord, organisation: str, tokens: int
    ) -> TokenLoanReply | None:
        """Ask an owner until it has claimed the tokens, as long as it could."""
        give_up_at = time.monotonic() + CLAIM_TIMEOUT_SECONDS
        while True:
            reply = await self._ask_owner(owner, organisation, tokens, may_claim=True)
            if reply is None or reply.tokens or not reply.may_ask_again:
                return reply
            if time.monotonic() > give_up_at:
                return reply

    async def _ask_holders(
        self, addresses: Iterable[str], organisation: str, tokens: int
    ) -> None:
        responsive = [a for a in addresses if not self._peers.is_unresponsive(a)]
        for address in responsive[:MAX_HOLDERS_ASKED]:
            shortfall = self._shortfall(organisation, tokens)
            if shortfall <= 0:
                return
            await self._exchange.ask_holder(address, organisation, shortfall)

    async def _ask_for_rest(
        self, owner: HostRecord, organisation: str, tokens: int
    ) -> None:
        """Ask the owner for what other hosts' loans have left to borrow."""
        account = self._ctx.token_accounts.account(organisation, time.monotonic())
        if 0 < account.free < tokens:
            await self._ask_owner(owner, organisation, tokens, may_claim=False)

    async def _ask_other_claimers(self, organisation: str, tokens: int) -> None:
        """Ask the hosts that rank next to this owner, which can't claim itself."""
        others = self._responsive(self._ctx.token_owners.others(organisation))
        for host in others:
            await self._ask_owner(host, organisation, tokens, may_claim=True)
            if self._shortfall(organisation, tokens) <= 0:
                return

    async def _ask_owner(
        self, owner: HostRecord, organisation: str, tokens: int, *, may_claim: bool
    ) -> TokenLoanReply | None:
        """Ask for what all waiting requests lack, and for some demand ahead."""
        account = self._ctx.token_accounts.account(organisation, time.monotonic())
        waiting = max(tokens, self._waiting_tokens[organisation])
        wanted = waiting + self._ahead(organisation) - account.free
        shortfall = max(0, tokens - account.free)
        return await self._exchange.ask(
            owner, organisation, shortfall, wanted, may_claim=may_claim
        )

    def _start_refills(self, tasks: TaskGroup) -> None:
        for organisation in sorted(self._to_refill):
            if organisation not in self._in_progress:
                tasks.start_soon(self._refill, organisation)
        self._to_refill.clear()

    async def _refill(self, organisation: str) -> None:
        owners = self._responsive(self._ctx.token_owners_before(organisation))
        account = self._ctx.token_accounts.account(organisation, time.monotonic())
        if not owners or account.free >= self._ahead(organisation):
            return
        await self._introduce(organisation, owners[0])

    async def _introduce(self, organisation: str, owner: HostRecord) -> None:
        """Ask the owner for what it can spare, and tell it what is free here."""
        if organisation in self._in_progress:
            return
        done = self._in_progress[organisation] = anyio.Event()
        try:
            await self._ask_owner(owner, organisation, 0, may_claim=False)
        finally:
            del self._in_progress[organisation]
            done.set()

    async def _return_surplus(self) -> None:
        now = time.monotonic()
        for organisation in self._ctx.token_accounts.active_organisations():
            account = self._ctx.token_accounts.account(organisation, now)
            keep = (
                account.demand_rate(now)
                * KEEP_SECONDS
                * self._exchange.plenty(organisation)
            )
            if account.free > keep and not self._waiting_tokens[organisation]:
                await self._return(organisation, self._ahead(organisation))

    async def _return(self, organisation: str, kept: int) -> None:
        """Give the free tokens beyond ``kept`` to the owner."""
        owners = self._responsive(self._ctx.token_owners_before(organisation))
        if not owners:
            return
        if not self._exchange.has_asked(owners[0]):
            await self._introduce(organisation, owners[0])
        if not self._exchange.takes_returns(owners[0]):
            return
        account = self._ctx.token_accounts.account(organisation, time.monotonic())
        surplus = account.free - kept
        if surplus <= 0 or organisation in self._returning:
            return
        self._returning.add(organisation)
        try:
            await self._exchange.give(organisation, owners[0], surplus)
        finally:
            self._returning.discard(organisation)

    @contextlib.contextmanager
    def _waiting(self, organisation: str, tokens: int) -> Iterator[None]:
        self._waiting_tokens[organisation] += tokens
        try:
            yield
        finally:
            self._waiting_tokens[organisation] -= tokens

    def _shortfall(self, organisation: str, tokens: int) -> int:
        account = self._ctx.token_accounts.account(organisation, time.monotonic())
        return tokens - account.free

    def _ahead(self, organisation: str) -> int:
        """Return the tokens to hold ahead of demand."""
        now = time.monotonic()
        account = self._ctx.token_accounts.account(organisation, now)
        return int(
            account.demand_rate(now)
            * AHEAD_SECONDS
            * self._exchange.plenty(organisation)
        )

    def _responsive(self, hosts: Iterable[HostRecord]) -> list[HostRecord]:
        """Return the first of the hosts, those left out that did not answer lately."""
        responsive = (
            host for host in hosts if not self._peers.is_unresponsive(host.peer_address)
        )
        return list(itertools.islice(responsive, MAX_OWNERS_ASKED))
