"""Counts and logs connections that are shed or refused."""

from __future__ import annotations

from knapweeddrum.core.load.held_connection import HeldConnection
from knapweeddrum.process.entry.client_connections import ClientConnections
from knapweeddrum.telemetry.counters import CONNECTION_REFUSED, CONNECTION_SHED_COUNT
from knapweeddrum.telemetry.entry_events import CONNECTION_SHED, CONNECTIONS_REFUSED
from knapweeddrum.telemetry.event_log import EventLog
from knapweeddrum.telemetry.metrics import Metrics

SHED_LINE_INTERVAL_SECONDS = 0.5
"""Least time between two lines of connections that were shed."""

REFUSED_LINE_INTERVAL_SECONDS = 1.0


class ShedLog:
    """Logs some of them and says how many it did not log."""

    def __init__(
        self, connections: ClientConnections, events: EventLog, metrics: Metrics
    ) -> None:
        self._connections = connections
        self._events = events
        self._metrics = metrics
        self._shed_logged_at = float("-inf")
        self._shed_unlogged = 0
        self._refused_logged_at = float("-inf")
        self._refused_unlogged = 0

    def record_shed(self, conn: HeldConnection, now: float) -> None:
        """Record that a connection was shed, for its bytes or its descriptor."""
        self._metrics.count(CONNECTION_SHED_COUNT)
        if now - self._shed_logged_at < SHED_LINE_INTERVAL_SECONDS:
            self._shed_unlogged += 1
            return
        self._events.emit(
            CONNECTION_SHED,
            connection=conn.name,
            reason="descriptors" if conn.is_ended else "memory",
            phase=conn.phase,
            held=conn.held,
            for_ms=int((now - conn.since) * 1000),
            held_by_all=self._connections.memory.used,
            unlogged=self._shed_unlogged,
        )
        self._shed_logged_at = now
        self._shed_unlogged = 0

    def record_refused(self, now: float) -> None:
        """Record that a connection was closed as soon as it was accepted."""
        self._metrics.count(CONNECTION_REFUSED)
        self._refused_unlogged += 1
        if now - self._refused_logged_at < REFUSED_LINE_INTERVAL_SECONDS:
            return
        self._events.emit(
            CONNECTIONS_REFUSED,
            refused=self._refused_unlogged,
            callers=self._connections.callers.count,
            pages=self._connections.pages.count,
        )
        self._refused_logged_at = now
        self._refused_unlogged = 0
