"""Event loop in simulated time."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class EventLoop:
    """Runs callbacks by due time; those due at once, in the order of scheduling."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0

    def call_later(self, delay: float, callback: Callable[[], None]) -> None:
        """Schedule a callback after ``delay`` seconds."""
        heapq.heappush(self._events, (self.now + delay, self._number, callback))
        self._number += 1

    def call_every(self, period: float, callback: Callable[[], None]) -> None:
        """Schedule a callback every ``period`` seconds."""

        def run() -> None:
            callback()
            self.call_later(period, run)

        self.call_later(period, run)

    def run_until(self, end: float) -> None:
        """Run all callbacks that are due up to ``end``."""
        while self._events and self._events[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = end
