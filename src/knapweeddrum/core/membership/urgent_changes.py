"""Hosts whose changes are sent with priority."""

from __future__ import annotations


class UrgentChanges:
    """Hosts whose marks come first in a limited number of messages each."""

    def __init__(self) -> None:
        self._sends_left: dict[str, int] = {}

    def add(self, host: str, sends: int) -> None:
        """Send the mark of a host first in ``sends`` messages."""
        self._sends_left[host] = sends

    def discard(self, host: str) -> None:
        """Remove a host."""
        self._sends_left.pop(host, None)

    def take(self, limit: int) -> list[str]:
        """Return up to ``limit`` hosts for one message, most sends left first."""
        by_need = sorted(
            self._sends_left, key=lambda host: (-self._sends_left[host], host)
        )
        taken = by_need[:limit]
        for host in taken:
            self._sends_left[host] -= 1
            if self._sends_left[host] == 0:
                del self._sends_left[host]
        return taken
