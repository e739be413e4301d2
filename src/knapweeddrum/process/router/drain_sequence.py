"""The drain of a router before a planned stop."""

from __future__ import annotations

import anyio

from knapweeddrum.core.membership.drain_plan import DrainPlan
from knapweeddrum.core.membership.drain_state import DrainState
from knapweeddrum.message.call.drain_request import DrainRequest
from knapweeddrum.process.router.allowance_manager import AllowanceManager
from knapweeddrum.process.router.backoff import Backoff
from knapweeddrum.process.router.outcome_recorder import OutcomeRecorder
from knapweeddrum.process.router.router_context import RouterContext
from knapweeddrum.process.router.router_gate import RouterGate
from knapweeddrum.process.router.run_directory import RunDirectory
from knapweeddrum.process.router.settler import Settler
from knapweeddrum.process.router.usage_collector import UsageCollector
from knapweeddrum.rpc.exceptions import RpcError
from knapweeddrum.rpc.keeper_methods import DRAIN
from knapweeddrum.telemetry.events import (
    DRAIN_FINISHED,
    DRAIN_STARTED,
    STOPPED_UNSETTLED,
)
from knapweeddrum.value.drain_source import DrainSource

DRAIN_CHECK_INTERVAL_SECONDS = 0.05
DRAIN_CALL_TIMEOUT_SECONDS = 2.0
FIRST_DRAIN_CALL_DELAY_SECONDS = 0.1
LONGEST_DRAIN_CALL_DELAY_SECONDS = 1.0

FLUSH_TIMEOUT_SECONDS = 10.0
"""Time for settling and returning allowances after the last stream."""


class DrainSequence:
    """Drains a router: leaves the entry advice, ends streams, returns allowances."""

    def __init__(
        self,
        context: RouterContext,
        plan: DrainPlan,
        gate: RouterGate,
        allowances: AllowanceManager,
        collector: UsageCollector,
        settler: Settler,
        recorder: OutcomeRecorder,
        models: RunDirectory,
    ) -> None:
        self._context = context
        self._plan = plan
        self._gate = gate
        self._allowances = allowances
        self._collector = collector
        self._settler = settler
        self._recorder = recorder
        self._models = models

    async def run(self) -> None:
        """Drain the router; return when the process may stop."""
        self._plan.start(self._context.clock())
        self._context.events.emit(DRAIN_STARTED, in_progress=self._gate.in_progress)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.report_draining, True)
            await self._wait_for_streams()
            self._models.stop_all()
            with anyio.move_on_after(FLUSH_TIMEOUT_SECONDS):
                await self._return_allowances()
            tasks.cancel_scope.cancel()
        self._report()

    async def report_draining(self, draining: bool) -> None:
        """Report whether this host drains, until the keeper has accepted it."""
        req = DrainRequest(
            host=self._context.settings.host.name,
            draining=draining,
            source=DrainSource.ROUTER,
        )
        backoff = Backoff(
            self._context.rng,
            FIRST_DRAIN_CALL_DELAY_SECONDS,
            LONGEST_DRAIN_CALL_DELAY_SECONDS,
        )
        while not await self._send_once(req):
            await anyio.sleep(backoff.delay())

    async def _send_once(self, req: DrainRequest) -> bool:
        try:
            reply = await self._context.keeper.call(
                DRAIN, req, DRAIN_CALL_TIMEOUT_SECONDS
            )
        except RpcError:
            return False
        return reply.accepted

    async def _wait_for_streams(self) -> None:
        """Return once the drain plan is done with requests in progress."""
        while True:
            now = self._context.clock()
            state = self._plan.advance(self._gate.in_progress, now)
            if state is DrainState.STOPPED:
                return
            await anyio.sleep(DRAIN_CHECK_INTERVAL_SECONDS)

    async def _return_allowances(self) -> None:
        """Wait for pending usage and outcomes, then return all allowances."""
        while self._gate.in_progress or self._has_pending_work():
            await anyio.sleep(DRAIN_CHECK_INTERVAL_SECONDS)
        self._allowances.return_free()
        await self._settler.flush()

    def _has_pending_work(self) -> bool:
        return (
            self._collector.pending_runs > 0 or self._recorder.unrecorded_outcomes > 0
        )

    def _report(self) -> None:
        """Log the end of the drain and what was left unsettled."""
        if self._has_pending_work() or self._settler.unaccepted_entries:
            self._context.events.emit(
                STOPPED_UNSETTLED,
                runs=self._collector.pending_runs,
                settlements=self._settler.unaccepted_entries,
                outcomes=self._recorder.unrecorded_outcomes,
            )
        self._context.events.emit(DRAIN_FINISHED)
