"""Grants of this keeper, and the allowances that it hands to routers and peers."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Sequence

import anyio

from knapweeddrum.core.budget.allowance_pool import AllowancePool
from knapweeddrum.core.budget.budget_demand import BudgetDemand
from knapweeddrum.core.budget.budget_ledger import BudgetLedger
from knapweeddrum.core.budget.demand_rate import DemandRate
from knapweeddrum.core.budget.grant_policy import GrantPolicy
from knapweeddrum.core.budget.transfer_book import TransferBook
from knapweeddrum.core.fold.fact_verdict import FactVerdict
from knapweeddrum.message.call.allowance import Allowance
from knapweeddrum.message.call.draw_reply import DrawReply
from knapweeddrum.message.call.draw_request import DrawRequest
from knapweeddrum.message.call.settle_reply import SettleReply
from knapweeddrum.message.call.settle_request import SettleRequest
from knapweeddrum.message.call.settlement import Settlement
from knapweeddrum.message.call.shortfall import Shortfall
from knapweeddrum.message.call.transfer_reply import TransferReply
from knapweeddrum.message.call.transfer_request import TransferRequest
from knapweeddrum.message.call.want import Want
from knapweeddrum.message.fact.bill import Bill
from knapweeddrum.message.fact.grant import Grant
from knapweeddrum.message.fact.grant_return import GrantReturn
from knapweeddrum.process.keeper.draw_replies import DrawReplies
from knapweeddrum.process.keeper.exceptions import (
    AppendPendingError,
    KeeperError,
    NotAppendedError,
)
from knapweeddrum.process.keeper.grant_opener import GrantOpener
from knapweeddrum.process.keeper.keeper_stream import KeeperStream, shard_of
from knapweeddrum.process.keeper.membership_task import MembershipTask
from knapweeddrum.process.keeper.peer_channels import PeerChannels
from knapweeddrum.process.keeper.shortfall_error import ShortfallError
from knapweeddrum.process.keeper.transfer_client import TransferClient

GRANT_PATIENCE_SECONDS = 1.5
SETTLE_PATIENCE_SECONDS = 3.0
DEMAND_TIME_CONSTANT_SECONDS = 10.0
SURPLUS_PERIOD_SECONDS = 5.0
IDLE_SECONDS = 30.0
OPEN_AHEAD_SECONDS = 2.0
EXHAUSTED_RETRY_SECONDS = 30.0
UNREACHABLE_RETRY_SECONDS = 2.0


class GrantManager:
    """Owns the pool of unspent slices of this incarnation's grants."""

    def __init__(
        self,
        incarnation: str,
        streams: Sequence[KeeperStream[BudgetLedger]],
        policy: GrantPolicy,
        membership: MembershipTask,
        transfers: TransferClient,
        peers: PeerChannels,
        clock: Callable[[], float],
        witnessed: bool = True,
    ) -> None:
        self._incarnation = incarnation
        self._streams = streams
        self._policy = policy
        self._membership = membership
        self._transfers = transfers
        self._clock = clock
        self._pool = AllowancePool(incarnation)
        self._opener = GrantOpener(incarnation, self._pool, membership, peers)
        self._witnessed = witnessed
        self._given = TransferBook(self._pool)
        self._rates: dict[str, DemandRate] = {}
        self._last_draw: dict[str, float] = {}
        self._locks: dict[str, anyio.Lock] = {}
        self._refilling: set[str] = set()
        self._replies = DrawReplies()
        self._credited: set[str] = set()
        self._numbers = itertools.count()
        for stream in streams:
            stream.follower.listen(self._take_verdicts)
            stream.follower.listen_for_jumps(self._credit_known_grants)

    async def draw(self, req: DrawRequest) -> DrawReply:
        """Hand allowances to a router."""
        known = self._replies.get(req.draw_id)
        if known is not None:
            return known
        allowances: list[Allowance] = []
        shortfalls: list[Shortfall] = []
        for want in req.wants:
            try:
                allowances += await self._meet(want)
            except ShortfallError as exc:
                shortfalls.append(exc.shortfall)
        reply = DrawReply(allowances=tuple(allowances), shortfalls=tuple(shortfalls))
        self._replies.keep(req.draw_id, reply, self._clock())
        return reply

    async def settle(self, req: SettleRequest) -> SettleReply:
        """Put settlements on the log as bills and take back allowances."""
        self._pool.credit(req.settle_id, req.returns)
        accepted = True
        async with anyio.create_task_group() as tasks:

            async def bill(settlement: Settlement) -> None:
                nonlocal accepted
                accepted = await self._bill(settlement) and accepted

            for settlement in req.settlements:
                tasks.start_soon(bill, settlement)
        return SettleReply(accepted=accepted)

    def transfer(self, req: TransferRequest) -> TransferReply:
        """Hand tokens to a peer: at most half of what is free, unless it is idle."""
        free = self._pool.free(req.budget)
        spare = free if self._is_idle(req.budget) else free // 2
        tokens = min(req.tokens, spare)
        allowances = self._given.give(
            req.transfer_id, req.budget, tokens, self._clock()
        )
        return TransferReply(allowances=allowances)

    async def run(self) -> None:
        """Return surplus tokens now and then, until cancelled."""
        while True:
            await anyio.sleep(SURPLUS_PERIOD_SECONDS)
            held = {*self._pool.budgets(), *self._opener.budgets()}
            for budget in sorted(held):
                self._return_surplus(budget)

    def return_all(self) -> None:
        """Hand everything back to the log, at a planned stop."""
        for budget in self._opener.budgets():
            self._return_unopened(budget)
        for allowance in self._pool.return_all():
            self._submit_return(allowance)

    async def _meet(self, want: Want) -> tuple[Allowance, ...]:
        now = self._clock()
        self._rate(want.budget).add(want.minimum, now)
        self._last_draw[want.budget] = now
        lock = self._locks.setdefault(want.budget, anyio.Lock())
        async with lock:
            if self._pool.free(want.budget) < want.minimum:
                await self._obtain(want)
            if self._pool.free(want.budget) < want.minimum:
                raise ShortfallError(self._shortfall(want))
            tokens = max(want.minimum, self._share(want))
            allowances = self._pool.give(want.budget, tokens)
        self._refill(want.budget)
        return allowances

    def _share(self, want: Want) -> int:
        """Return the tokens to give when more than the minimum is free."""
        return min(want.preferred, self._pool.free(want.budget) // 2)

    async def _obtain(self, want: Want) -> None:
        """Open more of the grants, then ask the log for one, then peers."""
        await self._open_for(want)
        if self._pool.free(want.budget) >= want.minimum:
            return
        stream = shard_of(want.budget, self._streams)
        fact = self._grant(stream, want.budget, want.minimum)
        if fact is not None:
            try:
                await stream.appender.append(fact, GRANT_PATIENCE_SECONDS)
            except (AppendPendingError, NotAppendedError):
                # A grant that lands late is credited when it is read back.
                pass
            await self._open_for(want)
        if self._pool.free(want.budget) < want.minimum:
            await self._transfers.fetch(self._pool, want.budget, want.minimum)

    async def _open_for(self, want: Want) -> None:
        missing = want.minimum - self._pool.free(want.budget)
        if missing > 0 and self._opener.unopened(want.budget):
            ahead = self._rate(want.budget).at(self._clock()) * OPEN_AHEAD_SECONDS
            await self._opener.open(want.budget, missing + int(ahead))

    def _refill(self, budget: str) -> None:
        """Ask for the next grant ahead of need, one at a time for each budget."""
        if budget in self._refilling:
            return
        stream = shard_of(budget, self._streams)
        fact = self._grant(stream, budget, wanted=0)
        if fact is None:
            return
        self._refilling.add(budget)
        stream.appender.submit(fact)

    def _grant(
        self, stream: KeeperStream[BudgetLedger], budget: str, wanted: int
    ) -> Grant | None:
        demand = self._demand(stream, budget, wanted)
        tokens = self._policy.grant_tokens(demand)
        if tokens <= 0:
            return None
        grant_id = f"{self._incarnation}/grant-{next(self._numbers)}"
        return Grant(
            grant_id=grant_id,
            budget=budget,
            holder=self._incarnation,
            tokens=tokens,
            witness=self._opener.choose_witness(grant_id) if self._witnessed else "",
        )

    def _demand(
        self, stream: KeeperStream[BudgetLedger], budget: str, wanted: int
    ) -> BudgetDemand:
        return BudgetDemand(
            balance=stream.ledger.balance(budget),
            free=self._pool.free(budget) + self._opener.unopened(budget),
            wanted=wanted,
            rate=self._rate(budget).at(self._clock()),
            live_keepers=len(self._membership.live_incarnations()),
        )

    def _shortfall(self, want: Want) -> Shortfall:
        stream = shard_of(want.budget, self._streams)
        reachable = stream.follower.ready.is_set() and stream.appender.available
        exhausted = reachable and stream.ledger.balance(want.budget) < want.minimum
        return Shortfall(
            budget=want.budget,
            exhausted=exhausted,
            retry_after=(
                EXHAUSTED_RETRY_SECONDS if exhausted else UNREACHABLE_RETRY_SECONDS
            ),
        )

    async def _bill(self, settlement: Settlement) -> bool:
        stream = shard_of(settlement.budget, self._streams)
        fact = Bill(
            request_key=settlement.request_key,
            run_id=settlement.run_id,
            budget=settlement.budget,
            grant_id=settlement.grant_id,
            tokens=settlement.tokens,
            outcome=settlement.outcome,
            settler=settlement.settler,
            further=settlement.further,
            abandoned=settlement.abandoned,
        )
        try:
            await stream.appender.append(fact, SETTLE_PATIENCE_SECONDS)
        except KeeperError:
            return False
        return True

    def _return_surplus(self, budget: str) -> None:
        stream = shard_of(budget, self._streams)
        if not stream.appender.available:
            return
        if self._is_idle(budget):
            tokens = self._pool.free(budget)
            self._return_unopened(budget)
        else:
            demand = self._demand(stream, budget, wanted=0)
            tokens = self._policy.surplus_tokens(demand)
            if tokens > self._pool.free(budget):
                self._return_unopened(budget)
        if tokens <= 0:
            return
        for allowance in self._pool.give(budget, tokens):
            self._submit_return(allowance)

    def _return_unopened(self, budget: str) -> None:
        for allowance in self._opener.give_up(budget):
            self._submit_return(allowance, opened=False)

    def _submit_return(self, allowance: Allowance, opened: bool = True) -> None:
        stream = shard_of(allowance.budget, self._streams)
        number = next(self._numbers)
        stream.appender.submit(
            GrantReturn(
                return_id=f"{self._incarnation}/return-{number}",
                grant_id=allowance.grant_id,
                budget=allowance.budget,
                tokens=allowance.tokens,
                opened=opened,
            )
        )

    def _take_verdicts(self, verdicts: tuple[FactVerdict, ...]) -> None:
        """Credit grants of this incarnation when they are read back, also late."""
        for verdict in verdicts:
            fact = verdict.fact
            if not isinstance(fact, Grant) or fact.holder != self._incarnation:
                continue
            self._refilling.discard(fact.budget)
            self._credit(fact.grant_id, fact.budget, fact.witness, verdict.tokens)

    def _credit_known_grants(self) -> None:
        for stream in self._streams:
            for grant in stream.ledger.grants_of(self._incarnation):
                if not grant.released:
                    self._credit(
                        grant.grant_id, grant.budget, grant.witness, grant.remaining
                    )
        self._refilling.clear()

    def _credit(self, grant_id: str, budget: str, witness: str, tokens: int) -> None:
        if not tokens or grant_id in self._credited:
            return
        self._credited.add(grant_id)
        if witness:
            self._opener.add(grant_id, budget, witness, tokens)
            return
        allowance = Allowance(budget=budget, grant_id=grant_id, tokens=tokens)
        self._pool.credit(grant_id, (allowance,))

    def _rate(self, budget: str) -> DemandRate:
        return self._rates.setdefault(budget, DemandRate(DEMAND_TIME_CONSTANT_SECONDS))

    def _is_idle(self, budget: str) -> bool:
        last = self._last_draw.get(budget)
        return last is None or self._clock() - last > IDLE_SECONDS
