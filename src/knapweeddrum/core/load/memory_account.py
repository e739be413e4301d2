"""Bytes that this host holds for the connections of clients."""

from __future__ import annotations

from knapweeddrum.core.load.held_connection import HeldConnection
from knapweeddrum.value.connection_phase import ConnectionPhase

SMALL_BYTES = 131_072
"""Bytes up to which a connection may use the part that is kept for small ones."""

LARGE_FRACTION = 0.75
"""Part of the limit that connections above SMALL_BYTES may use."""

MIN_WEIGHED_SECONDS = 0.01
"""Least time that counts, so that bytes decide among connections of the same age."""


class MemoryAccount:
    """Decides which connection may hold how many bytes, and which one is shed.

    Requests that are being served are never shed. Of the others, the one with the
    largest product of bytes and seconds is, which may be the one that asks.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0
        self.most_used = 0
        self._holders: set[HeldConnection] = set()

    def take(self, conn: HeldConnection, count: int, now: float) -> bool:
        """Grant bytes to a connection, or return False."""
        if conn.is_shed:
            return False
        bound = self._bound(conn.held + count)
        while self.used + count > bound:
            victim = self._victim(conn, count, now)
            if victim is None or victim is conn:
                return False
            self._shed(victim)
        self.used += count
        self.most_used = max(self.most_used, self.used)
        conn.held += count
        self._holders.add(conn)
        return True

    def give_back(self, conn: HeldConnection, count: int) -> None:
        """Take back bytes that the connection has freed."""
        freed = min(count, conn.held)
        conn.held -= freed
        self.used -= freed
        if not conn.held:
            self._holders.discard(conn)

    def _bound(self, held: int) -> int:
        if held <= SMALL_BYTES:
            return self.limit
        return int(self.limit * LARGE_FRACTION)

    def _shed(self, victim: HeldConnection) -> None:
        # Its callback reports what it held, and its bytes count as free from here on.
        victim.is_shed = True
        victim.shed()
        self.give_back(victim, victim.held)

    def _victim(
        self, asker: HeldConnection, count: int, now: float
    ) -> HeldConnection | None:
        """Return the largest and slowest connection that may be shed."""
        candidates = {conn for conn in self._holders if _may_be_shed(conn, now)}
        if _may_be_shed(asker, now):
            candidates.add(asker)

        def weight(conn: HeldConnection) -> float:
            held = conn.held + (count if conn is asker else 0)
            return held * max(MIN_WEIGHED_SECONDS, now - conn.since)

        return max(candidates, key=weight, default=None)


def _may_be_shed(conn: HeldConnection, now: float) -> bool:
    return conn.phase is ConnectionPhase.RECEIVING or conn.is_stalled(now)
