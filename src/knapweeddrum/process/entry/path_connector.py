"""Connects to endpoints, through other hosts where the own path is lost."""

from __future__ import annotations

import time

import anyio

from knapweeddrum.core.catalog.endpoint_entry import EndpointEntry
from knapweeddrum.core.placing.endpoint_states import instance_name
from knapweeddrum.http.client_connection import ClientConnection
from knapweeddrum.http.exceptions import NotSentError, PeerRefusedError
from knapweeddrum.process.entry.endpoint_connector import (
    PROBE_TIMEOUT_SECONDS,
    DirectConnector,
    EndpointConnector,
    failed_result,
)
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.telemetry.counters import connect_counter
from knapweeddrum.telemetry.entry_events import ENDPOINT_REACHED, ENDPOINT_UNREACHED
from knapweeddrum.value.link_source import LinkSource
from knapweeddrum.value.probe_result import ProbeResult


class PathConnector(EndpointConnector):
    """Chooses the way to each endpoint by what became of earlier connections.

    ``tunnels`` leads through other hosts.
    """

    def __init__(self, ctx: EntryContext, tunnels: EndpointConnector) -> None:
        self._ctx = ctx
        self._tunnels = tunnels
        self._direct = DirectConnector(ctx.receiver(LinkSource.ENDPOINTS))
        self.changed = anyio.Event()
        """Set and replaced when an endpoint or a path came in or out of reach."""

    async def connect(self, entry: EndpointEntry, timeout: float) -> ClientConnection:
        """Connect from this host, or through another one if the path is lost."""
        if self._ctx.reach.is_path_lost(instance_name(entry)):
            return await self._tunnels.connect(entry, timeout)
        return await self.connect_directly(entry, timeout)

    async def probe(self, entry: EndpointEntry) -> ProbeResult | None:
        """Connect and return what became of it.

        None if the path is lost and no other host can be asked.
        """
        if self._ctx.reach.is_path_lost(instance_name(entry)):
            return await self._tunnels.probe(entry)
        return await self.probe_directly(entry)

    async def confirm_failure(self, entry: EndpointEntry) -> bool:
        """Return whether other hosts, if there are any, can't reach an endpoint either.

        One that no host could be asked about may be in their reach.
        """
        if not self._ctx.hosts.ready_hosts():
            return True
        if not self._ctx.reach.is_asked(instance_name(entry), time.monotonic()):
            await self.ask_others(entry)
        answer = self._ctx.reach.answer(instance_name(entry))
        return answer is not None and answer is not ProbeResult.CONNECTED

    async def connect_directly(
        self, entry: EndpointEntry, timeout: float
    ) -> ClientConnection:
        """Connect from this host."""
        began_at = time.monotonic()
        try:
            conn = await self._direct.connect(entry, timeout)
        except NotSentError as exc:
            self._record_trip(began_at, is_answered=isinstance(exc, PeerRefusedError))
            self._record(entry, failed_result(exc), str(exc))
            raise
        self._record_trip(began_at, is_answered=True)
        self._record(entry, ProbeResult.CONNECTED)
        return conn

    async def probe_directly(self, entry: EndpointEntry) -> ProbeResult:
        """Connect from this host, close the connection, return what became of it."""
        try:
            conn = await self.connect_directly(entry, PROBE_TIMEOUT_SECONDS)
        except NotSentError as exc:
            return failed_result(exc)
        await conn.close()
        return ProbeResult.CONNECTED

    async def ask_others(self, entry: EndpointEntry) -> None:
        """Ask other hosts whether they reach an endpoint that this one does not.

        If one does, and a further connection fails here, the path is lost. The endpoint
        may have come back meanwhile.
        """
        name = instance_name(entry)
        answer = await self._tunnels.probe(entry)
        self._ctx.reach.record_answer(name, answer, time.monotonic())
        if answer is not ProbeResult.CONNECTED:
            return
        if await self.probe_directly(entry) is ProbeResult.CONNECTED:
            return
        if self._ctx.reach.record_elsewhere(name, time.monotonic()):
            self._notify()

    def _record_trip(self, began_at: float, *, is_answered: bool) -> None:
        now = time.monotonic()
        self._ctx.link_load.record_trip(
            LinkSource.ENDPOINTS, now - began_at, now, is_answered=is_answered
        )

    def _record(
        self, entry: EndpointEntry, result: ProbeResult, error: str = ""
    ) -> None:
        ctx = self._ctx
        now = time.monotonic()
        name = instance_name(entry)
        ctx.metrics.count(connect_counter(result))
        failed_for = ctx.reach.unreached_for(name, now)
        if not ctx.reach.record(name, result, now):
            return
        self._notify()
        if result is ProbeResult.CONNECTED:
            ctx.events.emit(
                ENDPOINT_REACHED,
                endpoint=entry.endpoint_id,
                failed_for=round(failed_for or 0.0, 2),
                unreached=len(ctx.reach.unreached()),
            )
            return
        ctx.events.emit(
            ENDPOINT_UNREACHED,
            endpoint=entry.endpoint_id,
            result=result,
            error=error,
            unreached=len(ctx.reach.unreached()),
            listed=len(ctx.service_list.all()),
        )

    def _notify(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()
