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
from knapweeddrum.process.router.claim_client import ClaimClient
from knapweeddrum.process.router.collaborators import Collaborators
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
from knapweeddrum.process.router.router_app import RouterApp
from knapweeddrum.process.router.router_gate import RouterGate
from knapweeddrum.process.router.run_directory import RunDirectory
from knapweeddrum.process.router.run_services import RunServices
from knapweeddrum.process.router.service_directory import ServiceDirectory
from knapweeddrum.process.router.service_handler import ServiceHandler
from knapweeddrum.process.router.settler import Settler
from knapweeddrum.process.router.slot_limiter import SlotLimiter
from knapweeddrum.process.router.usage_collector import UsageCollector


class Router:
    """Creates the tasks of a router, which run in the given task group."""

    def __init__(self, parts: Collaborators, tasks: anyio.abc.TaskGroup) -> None:
        self._parts = parts
        self._tasks = tasks
        settings = parts.settings.router
        plan = DrainPlan(settings.advice_lifetime_seconds, settings.drain_limit_seconds)
        locator = Locator(parts, tasks)
        self.settler = Settler(parts)
        self.allowances = AllowanceManager(parts, self.settler, tasks)
        self.collector = UsageCollector(parts, self.allowances, locator, tasks)
        self.directory = EndpointDirectory(parts)
        self._admission = AdmissionTask(parts)
        self._pollers = PollerGroup(parts, self.directory, tasks)
        self._config = ConfigFollower(parts, self._configure)
        crashes = CrashWatch(parts)
        self.entry = EntryFollower(parts, crashes)
        recorder = OutcomeRecorder(parts, tasks)
        services = RunServices(
            parts=parts,
            admission=self._admission,
            allowances=self.allowances,
            claims=ClaimClient(parts, recorder),
            collector=self.collector,
            crashes=crashes,
            directory=self.directory,
            locator=locator,
        )
        table = self._config.table
        self._limiter = SlotLimiter(
            parts, table, self.directory, self._admission, self.entry
        )
        models = RunDirectory(services, tasks)
        plain = ServiceDirectory(services, tasks)
        self.gate = RouterGate(parts, table, plan, models, plain, self.collector)
        self.drain = DrainSequence(
            parts,
            plan,
            self.gate,
            self.allowances,
            self.collector,
            self.settler,
            recorder,
            models,
        )
        self.app = RouterApp(
            parts,
            table,
            self.gate,
            ModelHandler(parts, table, models),
            ServiceHandler(parts, table, plain),
            EntryHandler(parts, self.entry, plan),
        )

    def start(self) -> None:
        """Start the tasks that run until the router stops."""
        self._tasks.start_soon(self._config.run)
        self._tasks.start_soon(self.entry.run)
        self._tasks.start_soon(self._admission.run)
        self._tasks.start_soon(self._limiter.run)
        self._tasks.start_soon(self.allowances.run)
        self._tasks.start_soon(self.settler.run)
        self._tasks.start_soon(self.drain.tell_keeper, False)

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
    parts: Collaborators, listener: socket.socket
) -> AsyncIterator[Router]:
    """Serve callers while the context is open; on exit, cancel all requests."""
    async with anyio.create_task_group() as tasks:
        router = Router(parts, tasks)
        router.start()
        limit = parts.settings.router.header_limit_bytes
        try:
            async with caller_server(router.app, listener, limit):
                yield router
        finally:
            tasks.cancel_scope.cancel()
            with anyio.CancelScope(shield=True):
                await router.close()
