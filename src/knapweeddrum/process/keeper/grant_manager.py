"""Grants of this keeper, and the allowances that it gives to routers and peers."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Sequence

import anyio
from anyio.abc import TaskGroup

from knapweeddrum.core.budget.allowance_pool import AllowancePool
from knapweeddrum.core.budget.budget_demand import BudgetDemand
from knapweeddrum.core.budget.budget_ledger import BudgetLedger
from knapweeddrum.core.budget.grant_policy import GrantPolicy
from knapweeddrum.core.budget.transfer_table import TransferTable
from knapweeddrum.core.replay.fact_verdict import FactVerdict
from knapweeddrum.message.call.allowance import Allowance
from knapweeddrum.message.call.draw_reply import DrawReply
from knapweeddrum.message.call.draw_request import DrawRequest
from knapweeddrum.message.call.shortfall import Shortfall
from knapweeddrum.message.call.token_demand import TokenDemand
from knapweeddrum.message.call.transfer_reply import TransferReply
from knapweeddrum.message.call.transfer_request import TransferRequest
from knapweeddrum.message.fact.grant import Grant
from knapweeddrum.process.keeper.budget_use import BudgetUse
from knapweeddrum.process.keeper.draw_server import DrawServer
from knapweeddrum.process.keeper.exceptions import (
    AppendPendingError,
    NoStateError,
    NotAppendedError,
)
from knapweeddrum.process.keeper.grant_return_fact import grant_return
from knapweeddrum.process.keeper.grant_unlocker import GrantUnlocker
from knapweeddrum.process.keeper.keeper_stream import KeeperStream, shard_of
from knapweeddrum.process.keeper.membership_task import MembershipTask
from knapweeddrum.process.keeper.peer_channels import PeerChannels
from knapweeddrum.process.keeper.shortfall_error import ShortfallError
from knapweeddrum.process.keeper.transfer_client import TransferClient

GRANT_APPEND_TIMEOUT_SECONDS = 1.5
GRANT_ATTEMPTS_PER_DRAW = 2
"""Most grants requested for one draw.

A second one is needed if the first one's witness has failed and is still taken as live.
"""

SURPLUS_RETURN_PERIOD_SECONDS = 5.0
UNLOCK_AHEAD_SECONDS = 2.0
EXHAUSTED_RETRY_AFTER_SECONDS = 30.0
UNAVAILABLE_RETRY_AFTER_SECONDS = 2.0


class GrantManager:
    """Requests grants and holds the pool of this incarnation's unspent tokens.

    Routers draw tokens from the pool, and peers get them as transfers. Tokens of a
    witnessed grant are added once the witness has unlocked them. Surplus tokens are
    returned to the budget's balance.
    """

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
        unlock_ahead: float = UNLOCK_AHEAD_SECONDS,
    ) -> None:
        """``unlock_ahead`` is the time (s) for which demand is unlocked in advance.

        These tokens are unlocked together with those that a draw needs.
        """
        self._incarnation = incarnation
        self._streams = streams
        self._policy = policy
        self._membership = membership
        self._transfers = transfers
        self._clock = clock
        self._pool = AllowancePool(incarnation)
        self._unlocker = GrantUnlocker(incarnation, self._pool, membership, peers)
        self._witnessed = witnessed
        self._unlock_ahead = unlock_ahead
        self._sent_transfers = TransferTable(self._pool)
        self._uses: dict[str, BudgetUse] = {}
        self._draws = DrawServer(self._fulfil_all, self._take_back, clock)
        self._tasks: TaskGroup | None = None
        self._credited: set[str] = set()
        self._numbers = itertools.count()
        for stream in streams:
            stream.follower.listen(self._credit_new_grants)
            stream.follower.listen_for_jumps(self._credit_known_grants)

    async def draw(self, req: DrawRequest) -> DrawReply:
        """Give allowances to a router.

        Raises NoStateError until ``run`` has started.
        """
        if self._tasks is None:
            raise NoStateError("the keeper has not started yet")
        return await self._draws.serve(req, self._tasks)

    async def _fulfil_all(self, req: DrawRequest) -> DrawReply:
        allowances: list[Allowance] = []
        shortfalls: list[Shortfall] = []
        for want in req.wants:
            try:
                allowances += await self._fulfil(want)
            except ShortfallError as exc:
                shortfalls.append(exc.shortfall)
        return DrawReply(allowances=tuple(allowances), shortfalls=tuple(shortfalls))

    async def transfer(self, req: TransferRequest) -> TransferReply:
        """Send tokens to a peer.

        At most half of the tokens of a budget are sent, unless the budget is idle here.
        """
        left = self._pool.free(req.budget) + self._unlocker.unlockable(req.budget)
        use = self._uses.get(req.budget)
        is_idle = use is None or use.is_idle(self._clock())
        tokens = min(req.tokens, left if is_idle else left // 2)
        missing = tokens - self._pool.free(req.budget)
        if missing > 0:
            await self._unlocker.unlock(req.budget, missing)
        tokens = min(tokens, self._pool.free(req.budget))
        allowances = self._sent_transfers.send(
            req.transfer_id, req.budget, tokens, self._clock()
        )
        return TransferReply(allowances=allowances)

    async def run(self) -> None:
        """Serve draws and periodically return surplus tokens, until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            await self._return_surpluses()

    async def _return_surpluses(self) -> None:
        while True:
            await anyio.sleep(SURPLUS_RETURN_PERIOD_SECONDS)
            held = {*self._pool.budgets(), *self._unlocker.budgets()}
            for budget in sorted(held):
                self._return_surplus(budget)
            self._forget_unused(held)

    def return_all(self) -> None:
        """Return all unspent tokens, for a planned stop."""
        for budget in sorted({*self._unlocker.budgets(), *self._pool.budgets()}):
            self._return_all_of(budget)

    def _take_back(self, reply: DrawReply) -> None:
        """Put the allowances of a reply that was never sent back into the pool."""
        credit_id = f"{self._incarnation}/unsent-{next(self._numbers)}"
        self._pool.credit(credit_id, reply.allowances)
        self._pool.forget(credit_id)

    async def _fulfil(self, want: TokenDemand) -> tuple[Allowance, ...]:
        use = self._use(want.budget)
        use.last_draw = self._clock()
        async with use.lock:
            if self._pool.free(want.budget) < want.minimum:
                await self._obtain(want)
            if self._pool.free(want.budget) < want.minimum:
                use.record_draw(want.minimum, self._clock())
                raise ShortfallError(self._report_shortfall(want))
            tokens = max(want.minimum, self._preferred_tokens(want))
            allowances = self._pool.withdraw(want.budget, tokens)
        use.record_draw(tokens, self._clock())
        self._refill(want.budget)
        return allowances

    def _report_shortfall(self, want: TokenDemand) -> Shortfall:
        """Return the shortfall, and return this keeper's tokens if the balance is low.

        Tokens that are too few at each keeper may together be enough for a request.
        """
        shortfall = self._shortfall(want)
        if shortfall.return_rest:
            self._return_all_of(want.budget)
        return shortfall

    def _preferred_tokens(self, want: TokenDemand) -> int:
        """Return the tokens to hand out: as preferred, but at most half of the pool."""
        return min(want.preferred, self._pool.free(want.budget) // 2)

    async def _obtain(self, want: TokenDemand) -> None:
        """Unlock more of the grants, then request a new grant, then ask peers."""
        for _ in range(GRANT_ATTEMPTS_PER_DRAW):
            await self._unlock_for(want)
            if self._pool.free(want.budget) >= want.minimum:
                return
            if not await self._append_grant(want):
                break
        await self._unlock_for(want)
        if self._pool.free(want.budget) < want.minimum:
            await self._transfers.fetch(self._pool, want.budget, want.minimum)

    async def _append_grant(self, want: TokenDemand) -> bool:
        """Request a grant for a draw and return whether it was read back."""
        stream = shard_of(want.budget, self._streams)
        fact = self._grant(stream, want.budget, want.minimum)
        if fact is None:
            return False
        try:
            await stream.appender.append(fact, GRANT_APPEND_TIMEOUT_SECONDS)
        except (AppendPendingError, NotAppendedError):
            # A grant that reaches the log late is credited when it is read back.
            return False
        return True

    async def _unlock_for(self, want: TokenDemand) -> None:
        missing = want.minimum - self._pool.free(want.budget)
        if missing > 0:
            rate = self._use(want.budget).rate.at(self._clock())
            ahead = rate * self._unlock_ahead
            await self._unlocker.unlock(want.budget, missing + int(ahead))

    def _refill(self, budget: str) -> None:
        """Request the next grant ahead of demand, one at a time for each budget."""
        use = self._use(budget)
        if use.is_refilling:
            return
        stream = shard_of(budget, self._streams)
        fact = self._grant(stream, budget, wanted=0)
        if fact is None:
            return
        use.is_refilling = True
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
            witness=self._unlocker.choose_witness(grant_id) if self._witnessed else "",
        )

    def _demand(
        self, stream: KeeperStream[BudgetLedger], budget: str, wanted: int
    ) -> BudgetDemand:
        return BudgetDemand(
            balance=stream.ledger.balance(budget),
            free=self._pool.free(budget) + self._unlocker.unlockable(budget),
            wanted=wanted,
            rate=self._use(budget).rate.at(self._clock()),
            live_keepers=len(self._membership.live_incarnations()),
        )

    def _shortfall(self, want: TokenDemand) -> Shortfall:
        stream = shard_of(want.budget, self._streams)
        reachable = stream.follower.ready.is_set() and stream.appender.available
        live = self._membership.live_incarnations()
        status = stream.ledger.status(want.budget, live)
        # Tokens of live holders may be settled for less or be returned unspent.
        left = status.balance + status.held - status.stranded - want.free
        exhausted = reachable and left < want.minimum
        return Shortfall(
            budget=want.budget,
            exhausted=exhausted,
            retry_after=(
                EXHAUSTED_RETRY_AFTER_SECONDS
                if exhausted
                else UNAVAILABLE_RETRY_AFTER_SECONDS
            ),
            return_rest=reachable and status.balance < want.minimum,
        )

    def _return_surplus(self, budget: str) -> None:
        stream = shard_of(budget, self._streams)
        if not stream.appender.available:
            return
        for allowance in self._unlocker.give_up_unresponsive(budget):
            self._submit_return(allowance, unlocked=False)
        if self._use(budget).is_idle(self._clock()):
            tokens = self._pool.free(budget)
            self._return_locked(budget)
        else:
            demand = self._demand(stream, budget, wanted=0)
            tokens = self._policy.surplus_tokens(demand)
            if tokens > self._pool.free(budget):
                self._return_locked(budget)
        if tokens <= 0:
            return
        for allowance in self._pool.withdraw(budget, tokens):
            self._submit_return(allowance)

    def _return_all_of(self, budget: str) -> None:
        self._return_locked(budget)
        for allowance in self._pool.withdraw(budget, self._pool.free(budget)):
            self._submit_return(allowance)

    def _return_locked(self, budget: str) -> None:
        for allowance in self._unlocker.give_up_locked(budget):
            self._submit_return(allowance, unlocked=False)

    def _submit_return(self, allowance: Allowance, unlocked: bool = True) -> None:
        stream = shard_of(allowance.budget, self._streams)
        return_id = f"{self._incarnation}/return-{next(self._numbers)}"
        stream.appender.submit(grant_return(return_id, allowance, unlocked))

    def _credit_new_grants(self, verdicts: tuple[FactVerdict, ...]) -> None:
        """Credit grants of this incarnation when they are read back, even if late."""
        for verdict in verdicts:
            fact = verdict.fact
            if not isinstance(fact, Grant) or fact.holder != self._incarnation:
                continue
            self._use(fact.budget).is_refilling = False
            self._credit(fact.grant_id, fact.budget, fact.witness, verdict.tokens)

    def _credit_known_grants(self) -> None:
        for stream in self._streams:
            for grant in stream.ledger.grants_of(self._incarnation):
                if not grant.released:
                    self._credit(
                        grant.grant_id, grant.budget, grant.witness, grant.remaining
                    )
        for use in self._uses.values():
            use.is_refilling = False

    def _credit(self, grant_id: str, budget: str, witness: str, tokens: int) -> None:
        if not tokens or grant_id in self._credited:
            return
        self._credited.add(grant_id)
        if witness:
            self._unlocker.add(grant_id, budget, witness, tokens)
            return
        allowance = Allowance(budget=budget, grant_id=grant_id, tokens=tokens)
        self._pool.credit(grant_id, (allowance,))
        self._pool.forget(grant_id)

    def _use(self, budget: str) -> BudgetUse:
        use = self._uses.get(budget)
        if use is None:
            use = self._uses[budget] = BudgetUse(last_draw=self._clock())
        return use

    def _forget_unused(self, held: set[str]) -> None:
        """Forget unused budgets and the identifiers of closed grants."""
        now = self._clock()
        for budget, use in list(self._uses.items()):
            if budget not in held and use.is_forgettable(now):
                del self._uses[budget]
        still_open: set[str] = set()
        for stream in self._streams:
            grants = stream.ledger.grants_of(self._incarnation)
            still_open.update(grant.grant_id for grant in grants)
        self._credited &= still_open
