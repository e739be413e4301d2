"""Queue of runs before the slots of the stand-in engine."""

from __future__ import annotations

import heapq
import itertools

from tests.standins.engine_run import EngineRun


class RunQueue:
    """Runs by priority, then by arrival; ended ones are dropped."""

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
        """Return the next run, or None."""
        while self._heap:
            _, _, run = heapq.heappop(self._heap)
            if not run.ended:
                return run
        return None
