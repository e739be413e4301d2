"""Finds out which paths to endpoints are lost, and when they are back."""

from __future__ import annotations

import time
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from knapweeddrum.core.placing.endpoint_state import EndpointState
from knapweeddrum.core.placing.endpoint_states import instance_name
from knapweeddrum.http.client_connection import ClientConnection
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.path_connector import PathConnector
from knapweeddrum.process.entry.tunnel_server import TunnelServer
from knapweeddrum.telemetry.entry_events import (
    HOST_CUT_OFF,
    HOST_REACHES_ENDPOINTS,
    PATH_LOST,
    PATH_RESTORED,
)
from knapweeddrum.value.identifiers import EndpointName

CHECK_INTERVAL_SECONDS = 0.25
"""Interval of looks at the paths, beside those at each change."""

PROBE_INTERVAL_SECONDS = 0.5
"""Interval of attempts to connect on lost paths."""

MAX_PROBED_PATHS = 8
"""Lost paths on which connecting is tried at a time, drawn at random."""

MAX_TRIED_PATHS = 2
"""Paths of a host that is cut off on which it is tried whether that is so."""

SILENT_SECONDS = 0.5
"""Time without any byte after which a connection on a silent path is given up."""

MIN_SILENT_PATHS = 2
"""Silent paths from which on it can't be the endpoints that are slow."""


class PathWatch:
    """Asks other hosts about failed connections and follows what they answer.

    An endpoint whose path is lost is used again at once, through other hosts. Its idle
    connections are closed if the path is silent, and those in use are given up if
    nothing comes on them; so are tunnels for other hosts. ``announce`` tells the other
    hosts that this one is cut off, or not any more.
    """

    def __init__(
        self,
        ctx: EntryContext,
        paths: PathConnector,
        tunnels: TunnelServer,
        announce: Callable[[], None],
    ) -> None:
        self._ctx = ctx
        self._paths = paths
        self._tunnels = tunnels
        self._announce = announce
        self._lost: dict[EndpointName, float] = {}
        """The lost paths, and when each was found to be."""
        self._cut_off_at: float | None = None

    async def run(self) -> None:
        """Follow the paths until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._probe_lost_paths)
            while True:
                self._ask_about_failures(tasks)
                await self._follow_changes(tasks)
                with anyio.move_on_after(CHECK_INTERVAL_SECONDS):
                    await self._paths.changed.wait()

    def _ask_about_failures(self, tasks: TaskGroup) -> None:
        for name in self._ctx.reach.to_ask(time.monotonic()):
            state = self._ctx.endpoint_states.find(name)
            if state is not None and self._ctx.in_use([state]):
                tasks.start_soon(self._paths.ask_others, state.entry)

    async def _probe_lost_paths(self) -> None:
        while True:
            await anyio.sleep(PROBE_INTERVAL_SECONDS)
            if not self._lost:
                continue
            async with anyio.create_task_group() as tasks:
                for state in self._paths_to_probe():
                    tasks.start_soon(self._paths.probe_directly, state.entry)

    def _paths_to_probe(self) -> list[EndpointState]:
        """Return lost paths, and some that are only taken to be lost."""
        ctx = self._ctx
        in_use = ctx.in_use(ctx.endpoint_states.all())
        lost = [s for s in in_use if instance_name(s.entry) in self._lost]
        chosen = ctx.rng.sample(lost, min(len(lost), MAX_PROBED_PATHS))
        if ctx.reach.is_cut_off:
            others = [s for s in in_use if instance_name(s.entry) not in self._lost]
            chosen += ctx.rng.sample(others, min(len(others), MAX_TRIED_PATHS))
        return chosen

    async def _follow_changes(self, tasks: TaskGroup) -> None:
        lost = self._ctx.reach.lost_paths()
        now = time.monotonic()
        for name in lost:
            if name not in self._lost:
                self._record_lost(name, now, tasks)
        for name in [name for name in self._lost if name not in lost]:
            self._record_restored(name, now)
        self._follow_cut(now)
        await self._close_needless_tunnels()
        if self._lost:
            await self._close_silent(now)

    def _record_lost(self, name: EndpointName, now: float, tasks: TaskGroup) -> None:
        ctx = self._ctx
        self._lost[name] = now
        state = ctx.endpoint_states.find(name)
        if state is None:
            return
        state.readmit(now)
        ctx.events.emit(
            PATH_LOST,
            endpoint=state.entry.endpoint_id,
            failed_for=round(ctx.reach.unreached_for(name, now) or 0.0, 2),
            lost=len(self._lost),
        )
        # Shows whether the path is silent, or the endpoint was for a moment.
        tasks.start_soon(self._paths.probe_directly, state.entry)

    def _record_restored(self, name: EndpointName, now: float) -> None:
        ctx = self._ctx
        lost_at = self._lost.pop(name)
        state = ctx.endpoint_states.find(name)
        if state is None:
            return
        state.readmit(now)
        ctx.events.emit(
            PATH_RESTORED,
            endpoint=state.entry.endpoint_id,
            after=round(now - lost_at, 2),
            lost=len(self._lost),
        )

    def _follow_cut(self, now: float) -> None:
        """Follow whether this host is cut off from all endpoints."""
        ctx = self._ctx
        if ctx.reach.is_cut_off == (self._cut_off_at is not None):
            return
        self._announce()
        if self._cut_off_at is None:
            self._cut_off_at = now
            self._readmit_all(now)
            ctx.events.emit(HOST_CUT_OFF, lost=len(self._lost))
            return
        after = round(now - self._cut_off_at, 2)
        self._cut_off_at = None
        self._readmit_all(now)
        ctx.events.emit(HOST_REACHES_ENDPOINTS, after=after, lost=len(self._lost))

    def _readmit_all(self, now: float) -> None:
        """Use the endpoints again whose connections failed by the way to them."""
        for name in self._ctx.reach.unreached():
            state = self._ctx.endpoint_states.find(name)
            if state is not None:
                state.readmit(now)

    async def _close_needless_tunnels(self) -> None:
        """Close idle connections through other hosts on paths that are not lost."""

        def is_needless(key: str, conn: ClientConnection) -> bool:
            is_tunnel = bool(conn.via)
            return is_tunnel and not self._ctx.reach.is_path_lost(EndpointName(key))

        await self._ctx.pool.close_idle(is_needless)

    async def _close_silent(self, now: float) -> None:
        """Close connections on which nothing can come."""
        reach = self._ctx.reach
        silent = {name for name in self._lost if reach.is_silent(name)}

        def leads_nowhere(key: str, conn: ClientConnection) -> bool:
            return key in silent and not conn.via

        def is_given_up(key: str, conn: ClientConnection) -> bool:
            received_before = now - conn.received_at
            return leads_nowhere(key, conn) and received_before > SILENT_SECONDS

        await self._ctx.pool.close_idle(leads_nowhere)
        if len(silent) >= MIN_SILENT_PATHS:
            await self._ctx.pool.give_up_leased(is_given_up)
            await self._tunnels.abort_silent(silent, now - SILENT_SECONDS)
