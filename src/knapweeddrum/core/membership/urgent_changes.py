"""Hosts whose changes are sent with priority."""

from __future__ import annotations


class UrgentChanges:
    """Hosts whose marks come first in a limited number of messages each."""

    def __init__(self) -> None:
        self._remaining_sends: dict[str, int] = {}

    def add(self, host: str, sends: int) -> None:
        """Send the mark of a host first in ``sends`` messages."""
        self._remaining_sends[host] = sends

    def discard(self, host: str) -> None:
        """Remove a host."""
        self._remaining_sends.pop(host, None)

    def take(self, limit: int) -> list[str]:
        """Return up to ``limit`` hosts for one message, most sends left first."""
        by_remaining = sorted(
            self._remaining_sends, key=lambda host: (-self._remaining_sends[host], host)
        )
        taken = by_remaining[:limit]
        for host in taken:
            self._remaining_sends[host] -= 1
            if self._remaining_sends[host] == 0:
                del self._remaining_sends[host]
        return taken
