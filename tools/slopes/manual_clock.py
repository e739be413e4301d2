"""A clock that is set by hand."""

from __future__ import annotations


class ManualClock:
    """Monotonic seconds that pass only when told."""

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        """Return the time."""
        return self.now
