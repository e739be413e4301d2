"""Recent demand for one budget."""

from __future__ import annotations

import math


class DemandRate:
    """Exponentially weighted rate of consumption, in tokens per second."""

    __slots__ = ("_time_constant", "_time", "_rate")

    def __init__(self, time_constant: float) -> None:
        """``time_constant`` is in seconds."""
        self._time_constant = time_constant
        self._time = 0.0
        self._rate = 0.0

    def add(self, tokens: int, time: float) -> None:
        """Add tokens that were asked for at ``time`` (s)."""
        self._rate = self.at(time) + tokens / self._time_constant
        self._time = max(self._time, time)

    def at(self, time: float) -> float:
        """Return the rate at ``time`` (s)."""
        elapsed = max(0.0, time - self._time)
        return self._rate * math.exp(-elapsed / self._time_constant)
