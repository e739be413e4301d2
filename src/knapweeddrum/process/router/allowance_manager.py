"""Task that draws allowances from the keeper and reserves tokens of them."""

from __future__ import annotations

import math

import anyio
import anyio.abc

from knapweeddrum.core.budget.allowance_pool import AllowancePool
from knapweeddrum.core.budget.request_usage import RequestUsage
from knapweeddrum.core.budget.reservation import Reservation
from knapweeddrum.message.call.draw_reply import DrawReply
from knapweeddrum.message.call.draw_request import DrawRequest
from knapweeddrum.message.call.shortfall import Shortfall
from knapweeddrum.message.call.token_demand import TokenDemand
from knapweeddrum.process.router.backoff import Backoff
from knapweeddrum.process.router.exceptions import RefusedError
from knapweeddrum.process.router.guarded import guarded
from knapweeddrum.process.router.reservation_queue import ReservationQueue
from knapweeddrum.process.router.reservation_waiter import ReservationWaiter
from knapweeddrum.process.router.router_context import RouterContext
from knapweeddrum.process.router.settler import Settler
from knapweeddrum.rpc.exceptions import RpcError
from knapweeddrum.rpc.keeper_methods import DRAW
from knapweeddrum.value.refusal import Refusal
from knapweeddrum.value.refusal_reason import RefusalReason
from knapweeddrum.value.retry_reason import RetryReason

RESERVATION_TIMEOUT_SECONDS = 2.0
"""Limit on a request's wait for its reservation."""

UNREACHABLE_RETRY_AFTER_SECONDS = 2.0
DRAW_TIMEOUT_SECONDS = 2.0
FIRST_DRAW_DELAY_SECONDS = 0.05
LONGEST_DRAW_DELAY_SECONDS = 2.0

IDLE_ALLOWANCE_TIMEOUT_SECONDS = 5.0
"""Time without requests after which a budget's free tokens are returned."""

IDLE_CHECK_INTERVAL_SECONDS = 1.0


class AllowanceManager:
    """Reserves tokens for requests and draws allowances from the keeper.

    At most one draw of a budget is in flight; requests that arrive meanwhile share its
    reply or the next one. A draw is repeated under the same identifier until the
    keeper replies, because the keeper may have debited the tokens already.
    """

    def __init__(
        self, context: RouterContext, settler: Settler, tasks: anyio.abc.TaskGroup
    ) -> None:
        self._context = context
        self._settler = settler
        self._tasks = tasks
        self._pool = AllowancePool(context.incarnation)
        self._queues: dict[str, ReservationQueue] = {}
        self._wakes_send, self._wakes_receive = anyio.create_memory_object_stream[str](
            math.inf
        )

    async def reserve(self, budget: str, tokens: int, deadline: float) -> Reservation:
        """Reserve tokens of a budget; ``deadline`` is in monotonic seconds.

        Raises RefusedError if the budget has too few tokens, or if none are drawn
        before the timeout.
        """
        now = self._context.clock()
        queue = self._queues.setdefault(budget, ReservationQueue(now))
        queue.record_demand(tokens, now)
        if not queue.waiters:
            reservation = self._pool.reserve(budget, tokens)
            if reservation is not None:
                return reservation
        timeout = min(RESERVATION_TIMEOUT_SECONDS, max(0.0, deadline - now))
        outcome = await self._wait_for_reservation(budget, queue, tokens, timeout)
        if isinstance(outcome, Refusal):
            raise RefusedError(outcome)
        return outcome

    def settle(self, reservation: Reservation, usage: RequestUsage) -> None:
        """Charge the tokens that a run consumed and release the rest."""
        if usage.tokens == 0:
            self.release(reservation)
            return
        self._settler.add(self._pool.settle(reservation, usage))
        self._serve(reservation.budget)

    def release(self, reservation: Reservation) -> None:
        """Release the reservation of a run that consumed nothing."""
        self._pool.cancel(reservation)
        self._serve(reservation.budget)

    def return_free(self) -> None:
        """Return all tokens that are not reserved to the keeper."""
        self._settler.add(*self._pool.withdraw_all())

    async def run(self) -> None:
        """Draw allowances and return idle ones, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._return_idle)
            async for budget in self._wakes_receive:
                self._start_draw(self._collect_wakes(budget))

    async def _wait_for_reservation(
        self, budget: str, queue: ReservationQueue, tokens: int, timeout: float
    ) -> Reservation | Refusal:
        """Queue for a reservation; return it, or the refusal."""
        waiter = ReservationWaiter(tokens)
        queue.waiters.append(waiter)
        self._wakes_send.send_nowait(budget)
        try:
            with anyio.move_on_after(timeout):
                await waiter.decided.wait()
            return waiter.take() or self._shortfall_refusal(queue.shortfall)
        finally:
            if waiter in queue.waiters:
                queue.waiters.remove(waiter)
            unused = waiter.take()
            if isinstance(unused, Reservation):
                self.release(unused)

    def _shortfall_refusal(self, shortfall: Shortfall | None) -> Refusal:
        """Return the refusal of a request that got no tokens."""
        if shortfall is None:
            return Refusal(
                RefusalReason.BUDGET_UNREACHABLE,
                retry_after=UNREACHABLE_RETRY_AFTER_SECONDS,
            )
        if shortfall.exhausted:
            reason = RefusalReason.BUDGET_EXHAUSTED
        else:
            reason = RefusalReason.BUDGET_UNREACHABLE
        return Refusal(reason, retry_after=shortfall.retry_after)

    def _collect_wakes(self, first: str) -> list[str]:
        """Return the budgets that need a draw, of ``first`` and the queued wake-ups."""
        budgets = {first: None}
        while True:
            try:
                budgets[self._wakes_receive.receive_nowait()] = None
            except anyio.WouldBlock:
                return [name for name in budgets if self._needs_draw(name)]

    def _needs_draw(self, budget: str) -> bool:
        queue = self._queues.get(budget)
        return queue is not None and bool(queue.waiters) and not queue.is_drawing

    def _start_draw(self, budgets: list[str]) -> None:
        """Send the demands of some budgets to the keeper in one call."""
        if not budgets:
            return
        demands = []
        for budget in budgets:
            self._queues[budget].is_drawing = True
            demands.append(self._demand(budget))
        req = DrawRequest(
            draw_id=self._context.new_id(),
            router=self._context.incarnation,
            wants=tuple(demands),
        )
        self._tasks.start_soon(guarded, self._context, "draw", self._draw, req)

    def _demand(self, budget: str) -> TokenDemand:
        """Return what to draw: at least for the first waiter, preferably for all.

        The preferred amount includes the recent demand, for requests to come.
        """
        queue = self._queues[budget]
        free = self._pool.free(budget)
        minimum = max(1, queue.waiters[0].tokens - free)
        ahead = queue.recent_demand(self._context.clock())
        preferred = max(minimum, queue.waiting_tokens() + ahead - free)
        return TokenDemand(
            budget=budget, minimum=minimum, preferred=preferred, free=free
        )

    async def _draw(self, req: DrawRequest) -> None:
        """Repeat one draw until the keeper replies, then apply the reply."""
        backoff = Backoff(
            self._context.rng, FIRST_DRAW_DELAY_SECONDS, LONGEST_DRAW_DELAY_SECONDS
        )
        while True:
            try:
                reply = await self._context.keeper.call(DRAW, req, DRAW_TIMEOUT_SECONDS)
            except RpcError:
                self._context.metrics.count_retry(RetryReason.KEEPER_UNREACHABLE)
                await anyio.sleep(backoff.delay())
                continue
            break
        self._apply_reply(req, reply)

    def _apply_reply(self, req: DrawRequest, reply: DrawReply) -> None:
        """Add the drawn allowances and serve or refuse the waiters."""
        self._pool.credit(req.draw_id, reply.allowances)
        self._pool.forget(req.draw_id)
        shortfalls = {shortfall.budget: shortfall for shortfall in reply.shortfalls}
        for demand in req.wants:
            queue = self._queues[demand.budget]
            queue.is_drawing = False
            queue.shortfall = shortfalls.get(demand.budget)
            self._serve(demand.budget)
            if queue.shortfall is not None:
                self._refuse_waiters(demand.budget, queue.shortfall)
            elif queue.waiters:
                self._wakes_send.send_nowait(demand.budget)

    def _serve(self, budget: str) -> None:
        """Reserve the free tokens for the waiters in order of arrival."""
        queue = self._queues.get(budget)
        while queue is not None and queue.waiters:
            reservation = self._pool.reserve(budget, queue.waiters[0].tokens)
            if reservation is None:
                return
            queue.waiters.popleft().decide(reservation)

    def _refuse_waiters(self, budget: str, shortfall: Shortfall) -> None:
        """Refuse the waiters, unless requests in progress may release tokens."""
        queue = self._queues[budget]
        if self._pool.reserved(budget):
            return
        while queue.waiters:
            queue.waiters.popleft().decide(self._shortfall_refusal(shortfall))
        if shortfall.return_rest:
            # What several routers return may together be enough for a request.
            self._settler.add(*self._pool.withdraw(budget, self._pool.free(budget)))

    async def _return_idle(self) -> None:
        """Return the free tokens of budgets without recent requests."""
        while True:
            await anyio.sleep(IDLE_CHECK_INTERVAL_SECONDS)
            now = self._context.clock()
            for budget, queue in list(self._queues.items()):
                if now - queue.used_at < IDLE_ALLOWANCE_TIMEOUT_SECONDS:
                    continue
                self._settler.add(*self._pool.withdraw(budget, self._pool.free(budget)))
                if not queue.waiters and not queue.is_drawing:
                    del self._queues[budget]
