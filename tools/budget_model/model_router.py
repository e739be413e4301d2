"""A router: the real process's allowances, settlements and request claims."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio

from knapweeddrum.process.keeper_failover import KeeperFailover
from knapweeddrum.process.router.allowance_manager import AllowanceManager
from knapweeddrum.process.router.outcome_recorder import OutcomeRecorder
from knapweeddrum.process.router.request_claim_client import RequestClaimClient
from knapweeddrum.process.router.router_context import RouterContext
from knapweeddrum.process.router.settler import Settler
from knapweeddrum.telemetry.metrics import Metrics
from tools.budget_model.host import HOSTS, Host
from tools.budget_model.model_caller import ModelCaller
from tools.budget_model.model_keeper import EVENTS

if TYPE_CHECKING:
    from tools.budget_model.fleet import Fleet

DRAIN_POLL_INTERVAL_SECONDS = 0.1


class ModelRouter:
    """One incarnation of a host's router; its state is lost when it ends."""

    def __init__(self, fleet: Fleet, host: Host, number: int) -> None:
        self.host = host
        self.incarnation = f"{host.name}/router/{number}"
        self.is_killed = False
        self.is_draining = False
        self.streams = 0
        self.allowances: AllowanceManager | None = None
        self.claims: RequestClaimClient | None = None
        self.tasks: anyio.abc.TaskGroup | None = None
        self._scope = anyio.CancelScope()
        others = [HOSTS[(host.index + n) % len(HOSTS)] for n in range(len(HOSTS))]
        callers = [ModelCaller(fleet, host, other) for other in others]
        self.keeper = KeeperFailover(callers, fleet.clock)
        self._parts = RouterContext(
            settings=None,
            keeper=self.keeper,
            clients=None,
            events=EVENTS,
            metrics=Metrics(),
            rng=random.Random(f"{fleet.seed}/{self.incarnation}"),
            clock=fleet.clock,
            wall_clock=fleet.clock,
            incarnation=self.incarnation,
        )
        self._settler = Settler(self._parts)

    async def run(self) -> None:
        """Run until killed or stopped."""
        with self._scope:
            async with anyio.create_task_group() as tasks:
                self.tasks = tasks
                self.allowances = AllowanceManager(self._parts, self._settler, tasks)
                recorder = OutcomeRecorder(self._parts, tasks)
                self.claims = RequestClaimClient(self._parts, recorder)
                tasks.start_soon(self.allowances.run)
                tasks.start_soon(self._settler.run)

    def kill(self) -> None:
        """Cancel all tasks at once; open streams are cut."""
        self.is_killed = True
        self._scope.cancel()

    async def drain(self) -> None:
        """Refuse new requests, finish streams, then settle and return allowances."""
        self.is_draining = True
        while self.streams:
            await anyio.sleep(DRAIN_POLL_INTERVAL_SECONDS)
        self.allowances.return_free()
        await self._settler.flush()
