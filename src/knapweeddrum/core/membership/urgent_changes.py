"""Changes of members that are sent before anything else."""

from __future__ import annotations


class UrgentChanges:
    """Hosts whose change is put first in a bounded number of messages each."""

    def __init__(self) -> None:
        self._sends_left: dict[str, int] = {}

    def add(self, host: str, sends: int) -> None:
        """Put a host first in the next ``sends`` messages."""
        self._sends_left[host] = sends

    def discard(self, host: str) -> None:
        """Drop a host."""
        self._sends_left.pop(host, None)

    def take(self, limit: int) -> list[str]:
        """Return the hosts for one message, those that were sent least first."""
        by_need = sorted(
            self._sends_left, key=lambda host: (-self._sends_left[host], host)
        )
        taken = by_need[:limit]
        for host in taken:
            self._sends_left[host] -= 1
            if self._sends_left[host] == 0:
                del self._sends_left[host]
        return taken
