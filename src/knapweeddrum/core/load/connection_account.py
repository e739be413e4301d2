"""Descriptors that this host has for the connections of one kind of clients."""

from __future__ import annotations

from knapweeddrum.core.load.held_connection import STALL_SECONDS, HeldConnection
from knapweeddrum.value.connection_phase import ConnectionPhase

FREE_FRACTION = 0.1
"""Part of the limit that is kept for connections that end, but are not closed yet."""


class ConnectionAccount:
    """Decides whether a connection may be opened, and which one is ended for it."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.opening = 0
        """Connections that were admitted and aren't known by name yet."""
        self.refused = 0
        self._open: set[HeldConnection] = set()

    @property
    def count(self) -> int:
        """Return the connections that have a descriptor."""
        return len(self._open) + self.opening

    def admit(self, now: float) -> bool:
        """Return whether one more connection may be opened; the caller counts it."""
        if self.count >= self.limit:
            return self._refuse()
        if self.count < self.limit * (1 - FREE_FRACTION):
            return True
        victim = self._victim(now)
        if victim is None:
            return self._refuse()
        victim.is_ended = True
        victim.shed()
        return True

    def add(self, conn: HeldConnection) -> None:
        """Record an open connection."""
        self._open.add(conn)

    def remove(self, conn: HeldConnection) -> None:
        """Record that a connection was closed."""
        self._open.discard(conn)

    def _refuse(self) -> bool:
        self.refused += 1
        return False

    def _victim(self, now: float) -> HeldConnection | None:
        """Return the connection that is missed least, the oldest of its kind."""
        ranked = [
            (rank, conn.since, conn)
            for conn in self._open
            if not conn.is_ended and (rank := _rank(conn, now)) is not None
        ]
        best = min(ranked, key=lambda item: item[:2], default=None)
        return None if best is None else best[2]


def _rank(conn: HeldConnection, now: float) -> int | None:
    """Return how early a connection is ended, None for not at all."""
    age = now - conn.since
    if conn.phase is ConnectionPhase.ENDING:
        return 0
    if conn.phase is ConnectionPhase.WAITING:
        return 2 if conn.has_had_request else 1
    is_receiving = conn.phase is ConnectionPhase.RECEIVING
    if (is_receiving and age >= STALL_SECONDS) or conn.is_stalled(now):
        return 3
    return 4 if conn.served_in_row > 1 else None
