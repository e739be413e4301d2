"""The simulated fleet and its fault injection."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable

import anyio
import anyio.abc

from knapweeddrum.message.fact.deposit import Deposit
from tools.budget_model.fake_log import LogStore
from tools.budget_model.host import HOSTS, Host
from tools.budget_model.model_keeper import ModelKeeper
from tools.budget_model.model_router import ModelRouter
from tools.budget_model.network import Network
from tools.budget_model.strategy import Strategy
from tools.budget_model.streams import BUDGET
from tools.budget_model.tally import Tally

ADVICE_PROPAGATION_SECONDS = 5.0
"""Time from the start of a drain until callers follow the entry advice."""


class Fleet:
    """Runs the log and, on each host, a keeper and a router; injects faults."""

    def __init__(
        self, strategy: Strategy, seed: int, tasks: anyio.abc.TaskGroup, clock: Callable
    ) -> None:
        self.strategy = strategy
        self.seed = seed
        self.clock: Callable[[], float] = clock
        self.rng = random.Random(seed)
        self.network = Network()
        self.tally = Tally(strategy.ledger())
        self.store = LogStore(clock, self.tally.record)
        self.keepers: dict[Host, ModelKeeper] = {}
        self.routers: dict[Host, ModelRouter] = {}
        self.incarnations: dict[Host, str] = {}
        self._tasks = tasks
        self._numbers = itertools.count()
        for host in HOSTS:
            self.start_keeper(host)
            self.start_router(host)

    def host(self, name: str) -> Host:
        """Return a host by name."""
        return next(host for host in HOSTS if host.name == name)

    def live_keepers(self) -> set[str]:
        """Return the incarnations of the running keepers."""
        return {k.incarnation for k in self.keepers.values() if not k.is_killed}

    def start_keeper(self, host: Host) -> None:
        """Start the next incarnation of a host's keeper."""
        keeper = ModelKeeper(self, host, next(self._numbers))
        self.keepers[host] = keeper
        self.incarnations[host] = keeper.incarnation
        self.network.set_down(host, False, self.clock())
        self._tasks.start_soon(keeper.run)

    def start_router(self, host: Host) -> None:
        """Start the next incarnation of a host's router."""
        router = ModelRouter(self, host, next(self._numbers))
        self.routers[host] = router
        self._tasks.start_soon(router.run)

    def kill_keeper(self, host: Host) -> None:
        """Kill a host's keeper."""
        self.keepers[host].kill()
        self.network.set_down(host, True, self.clock())

    def kill_router(self, host: Host) -> None:
        """Kill a host's router; its open streams are cut."""
        self.routers[host].kill()

    def restart_router_later(self, host: Host, seconds: float) -> None:
        """Start a new router on a host after ``seconds``."""

        async def restart() -> None:
            await anyio.sleep(seconds)
            self.start_router(host)

        self._tasks.start_soon(restart)

    def set_log_down(self, is_down: bool) -> None:
        """Start or end an outage of the log."""
        self.network.is_log_down = is_down

    def set_partitioned(self, data_centre: str, is_partitioned: bool) -> None:
        """Start or end a partition of a data centre from the log and other ones."""
        self.network.set_partitioned(data_centre, is_partitioned, self.clock())

    def top_up(self, topup_id: str, tokens: int, host: Host) -> None:
        """Submit a top-up at the keeper of a host."""
        deposit = Deposit(topup_id, BUDGET, tokens)
        self.keepers[host].budget.appender.submit(deposit)

    def start_replacement(self, host: Host) -> None:
        """Start to replace a host's processes gracefully."""
        self._tasks.start_soon(self._replace, host)

    async def _replace(self, host: Host) -> None:
        keeper = self.keepers[host]
        router = self.routers[host]
        router.is_draining = True
        await anyio.sleep(ADVICE_PROPAGATION_SECONDS)
        await router.drain()
        router.kill()
        await keeper.hand_back()
        self.kill_keeper(host)
        await anyio.sleep(ADVICE_PROPAGATION_SECONDS)
        self.start_keeper(host)
        self.start_router(host)
