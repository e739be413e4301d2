"""The router of a host, with all its tasks."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import AsyncIterator

import anyio
import anyio.abc

from knapweeddrum.core.membership.drain_plan import DrainPlan
from knapweeddrum.process.router.admission_task import AdmissionTask
from knapweeddrum.process.router.allowance_manager import AllowanceManager
from knapweeddrum.process.router.caller_server import caller_server
from knapweeddrum.process.router.config_follower import ConfigFollower
from knapweeddrum.process.router.crash_watch import CrashWatch
from knapweeddrum.process.router.drain_sequence import DrainSequence
from knapweeddrum.process.router.endpoint_directory import EndpointDirectory
from knapweeddrum.process.router.entry_follower import EntryFollower
from knapweeddrum.process.router.entry_handler import EntryHandler
from knapweeddrum.process.router.locator import Locator
from knapweeddrum.process.router.model_handler import ModelHandler
from knapweeddrum.process.router.outcome_recorder import OutcomeRecorder
from knapweeddrum.process.router.poller_group import PollerGroup
from knapweeddrum.process.router.request_claim_client import RequestClaimClient
from knapweeddrum.process.router.router_app import RouterApp
from knapweeddrum.process.router.router_context import RouterContext
from knapweeddrum.process.router.router_gate import RouterGate
from knapweeddrum.process.router.run_directory import RunDirectory
from knapweeddrum.process.router.run_services import RunServices
from knapweeddrum.process.router.service_handler import ServiceHandler
from knapweeddrum.process.router.service_run_directory import ServiceRunDirectory
from knapweeddrum.process.router.settler import Settler
from knapweeddrum.process.router.slot_limiter import SlotLimiter
from knapweeddrum.process.router.usage_collector import UsageCollector


class Router:
    """Creates the tasks of a router, which run in the given task group."""

    def __init__(self, context: RouterContext, tasks: anyio.abc.TaskGroup) -> None:
        self._context = context
        self._tasks = tasks
        settings = context.settings.router
        plan = DrainPlan(settings.advice_lifetime_seconds, settings.drain_limit_seconds)
        locator = Locator(context, tasks)
        self.settler = Settler(context)
        self.allowances = AllowanceManager(context, self.settler, tasks)
        self.collector = UsageCollector(context, self.allowances, locator, tasks)
        self.directory = EndpointDirectory(context)
        self._admission = AdmissionTask(context)
        self._pollers = PollerGroup(context, self.directory, tasks)
        self._config = ConfigFollower(context, self._configure)
        crashes = CrashWatch(context)
        self.entry = EntryFollower(context, crashes)
        recorder = OutcomeRecorder(context, tasks)
        services = RunServices(
            context=context,
            admission=self._admission,
            allowances=self.allowances,
            claims=RequestClaimClient(context, recorder),
            collector=self.collector,
            crashes=crashes,
            directory=self.directory,
            locator=locator,
        )
        table = self._config.table
        self._limiter = SlotLimiter(
            context, table, self.directory, self._admission, self.entry
        )
        models = RunDirectory(services, tasks)
        plain = ServiceRunDirectory(services, tasks)
        self.gate = RouterGate(context, table, plan, models, plain, self.collector)
        self.drain = DrainSequence(
            context,
            plan,
            self.gate,
            self.allowances,
            self.collector,
            self.settler,
            recorder,
            models,
        )
        self.app = RouterApp(
            context,
            table,
            self.gate,
            ModelHandler(context, table, models),
            ServiceHandler(context, table, plain),
            EntryHandler(context, self.entry, plan),
        )

    def start(self) -> None:
        """Start the tasks that run until the router stops."""
        self._tasks.start_soon(self._config.run)
        self._tasks.start_soon(self.entry.run)
        self._tasks.start_soon(self._admission.run)
        self._tasks.start_soon(self._limiter.run)
        self._tasks.start_soon(self.allowances.run)
        self._tasks.start_soon(self.settler.run)
        self._tasks.start_soon(self.drain.report_draining, False)

    async def close(self) -> None:
        """Close the connections to endpoints."""
        await self.directory.close()

    async def _configure(self) -> None:
        """Apply a new configuration."""
        table = self._config.table
        self._admission.configure(table.routes)
        await self.directory.configure(table.endpoints)
        self._pollers.update()


@contextlib.asynccontextmanager
async def running_router(
    context: RouterContext, listener: socket.socket
) -> AsyncIterator[Router]:
    """Serve callers while the context is open; on exit, cancel all requests."""
    async with anyio.create_task_group() as tasks:
        router = Router(context, tasks)
        router.start()
        limit = context.settings.router.header_limit_bytes
        try:
            async with caller_server(router.app, listener, limit):
                yield router
        finally:
            tasks.cancel_scope.cancel()
            with anyio.CancelScope(shield=True):
                await router.close()
