"""Appends, calls and latency of grants of one busy budget."""

from __future__ import annotations

import anyio

from knapweeddrum.message.call.draw_request import DrawRequest
from knapweeddrum.message.call.token_demand import TokenDemand
from knapweeddrum.message.fact.deposit import Deposit
from knapweeddrum.rpc.keeper_methods import TRANSFER, UNLOCK
from tools.slopes.fact_maker import BUDGET, DEPOSIT_TOKENS
from tools.slopes.figure import Figure
from tools.slopes.membership_group import MembershipGroup
from tools.slopes.memory_caller import CallCounts, MemoryNetwork
from tools.slopes.memory_keeper import MemoryKeeper
from tools.slopes.memory_log import MemoryLog
from tools.slopes.paced_load import PacedLoad
from tools.slopes.reading import Reading
from tools.slopes.slope import Slope

APPEND_LATENCY_SECONDS = 0.005
CALL_LATENCY_SECONDS = 0.001
WARM_UP_SECONDS = 12.0
RUN_SECONDS = 10.0
DRAW_TOKENS = 250
DEPOSIT_TIMEOUT_SECONDS = 5.0
MILLISECONDS = 1_000


class GrantTrafficSlope(Slope):
    """Draws of one budget, spread evenly over keepers on an in-memory log.

    Appends take 5 ms and calls 1 ms; the balance is never exhausted.
    """

    repeats = 1

    def __init__(
        self, warm_up: float = WARM_UP_SECONDS, run_seconds: float = RUN_SECONDS
    ) -> None:
        self._warm_up = warm_up
        self._run_seconds = run_seconds

    def measure_with(self, size: float, keepers: int, rate: float) -> Reading:
        """Run once with ``keepers`` keepers and ``rate`` draws per second in total."""
        return anyio.run(self._measure, size, keepers, rate)

    async def _measure(self, size: float, count: int, rate: float) -> Reading:
        log = MemoryLog(APPEND_LATENCY_SECONDS)
        members = MembershipGroup(count)
        network = MemoryNetwork(CALL_LATENCY_SECONDS)
        keepers = [
            MemoryKeeper(index, members.heartbeats, log, network)
            for index in range(count)
        ]

        async def draw(number: int) -> bool:
            demand = TokenDemand(BUDGET, DRAW_TOKENS, DRAW_TOKENS)
            request = DrawRequest(f"draw-{number}", "router", (demand,))
            reply = await keepers[number % count].grants.draw(request)
            return bool(reply.allowances)

        async with anyio.create_task_group() as tasks:
            for keeper in keepers:
                keeper.start(tasks)
                await keeper.budgets.follower.ready.wait()
            deposit = Deposit("topup-1", BUDGET, DEPOSIT_TOKENS)
            appender = keepers[0].budgets.appender
            await appender.append(deposit, DEPOSIT_TIMEOUT_SECONDS)
            await PacedLoad(draw).run(rate, self._warm_up)
            network.counts.clear()
            appends = log.appends
            load = PacedLoad(lambda number: draw(-1 - number))
            await load.run(rate, self._run_seconds)
            tasks.cancel_scope.cancel()
        appends = log.appends - appends
        return Reading(
            size,
            (
                Figure("appends", "appends/s", appends / self._run_seconds),
                self._calls(network, UNLOCK.path, "opens"),
                self._calls(network, TRANSFER.path, "transfers"),
                Figure("median", "ms", load.quantile(0.5) * MILLISECONDS),
                Figure("p95", "ms", load.quantile(0.95) * MILLISECONDS),
                Figure("refused", "draws", load.failed),
            ),
        )

    def _calls(self, network: MemoryNetwork, path: str, name: str) -> Figure:
        counts = network.counts.get(path, CallCounts())
        return Figure(name, "calls/s", counts.calls / self._run_seconds)


class GrantRateSlope(GrantTrafficSlope):
    """Grant traffic by draws per second, with three keepers."""

    name = "grant-rate"
    unit = "draws/s"
    sizes = (30, 120, 480)
    tiny_sizes = (50, 100)
    keepers = 3

    def measure(self, size: float) -> Reading:
        """Return traffic and latency at ``size`` draws per second."""
        return self.measure_with(size, self.keepers, size)


class GrantKeepersSlope(GrantTrafficSlope):
    """Grant traffic by number of keepers, which share 160 draws per second."""

    name = "grant-keepers"
    unit = "keepers"
    sizes = (2, 6, 16)
    tiny_sizes = (2, 3)
    draws_per_second = 160.0

    def measure(self, size: float) -> Reading:
        """Return traffic and latency with ``size`` keepers."""
        return self.measure_with(size, int(size), self.draws_per_second)
