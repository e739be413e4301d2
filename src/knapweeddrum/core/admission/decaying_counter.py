"""Exponentially decaying count of recent events."""

from __future__ import annotations

import math


class DecayingCounter:
    """Count of events that decays exponentially with a time constant, in seconds."""

    def __init__(self, time_constant: float) -> None:
        self._time_constant = time_constant
        self._value = 0.0
        self._changed_at = 0.0

    def add(self, now: float, amount: float = 1.0) -> None:
        """Add an event, or ``amount`` of them."""
        self._value = self.value(now) + amount
        self._changed_at = max(now, self._changed_at)

    def value(self, now: float) -> float:
        """Return the decayed count."""
        elapsed = max(0.0, now - self._changed_at)
        return self._value * math.exp(-elapsed / self._time_constant)

    def rate(self, now: float) -> float:
        """Return the recent events per second."""
        return self.value(now) / self._time_constant
