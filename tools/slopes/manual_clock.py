"""Manually advanced clock."""

from __future__ import annotations


class ManualClock:
    """Monotonic clock in seconds that advances only when ``now`` is set."""

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        """Return the time."""
        return self.now
