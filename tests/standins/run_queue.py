"""Queue of the runs that wait for a slot of the stand-in for a model engine."""

from __future__ import annotations

import heapq
import itertools

from tests.standins.engine_run import EngineRun


class RunQueue:
    """Runs in order of priority (lowest first), then arrival, without ended runs."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, EngineRun]] = []
        self._arrivals = itertools.count()

    def __len__(self) -> int:
        return sum(1 for _, _, run in self._heap if not run.ended)

    def push(self, run: EngineRun) -> None:
        """Add a run."""
        item = (run.entry.priority, next(self._arrivals), run)
        heapq.heappush(self._heap, item)

    def pop(self) -> EngineRun | None:
        """Remove and return the next run, or None."""
        while self._heap:
            _, _, run = heapq.heappop(self._heap)
            if not run.ended:
                return run
        return None
