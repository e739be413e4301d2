"""Connects to endpoints and keeps up which of them are in reach."""

from __future__ import annotations

import time

from knapweeddrum.core.catalog.endpoint_entry import EndpointEntry
from knapweeddrum.core.placing.endpoint_states import instance_name
from knapweeddrum.http.client_connection import ClientConnection
from knapweeddrum.http.exceptions import NotSentError
from knapweeddrum.process.entry.endpoint_connector import (
    DirectConnector,
    EndpointConnector,
    failed_result,
)
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.telemetry.counters import connect_counter
from knapweeddrum.telemetry.events import ENDPOINT_REACHED, ENDPOINT_UNREACHED
from knapweeddrum.value.probe_result import ProbeResult


class PathConnector(EndpointConnector):
    """Connects from this host and records what became of each connection."""

    def __init__(self, ctx: EntryContext) -> None:
        self._ctx = ctx
        self._direct = DirectConnector(ctx.link_load.receive)

    async def connect(self, entry: EndpointEntry, timeout: float) -> ClientConnection:
        """Connect to the address of the entry."""
        try:
            conn = await self._direct.connect(entry, timeout)
        except NotSentError as exc:
            self._record(entry, failed_result(exc), str(exc))
            raise
        self._record(entry, ProbeResult.CONNECTED)
        return conn

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
