"""Rate at which requests come."""

from __future__ import annotations

import math

DECAY_SECONDS = 4.0
"""Time constant with which requests are forgotten."""


class RequestRate:
    """Exponentially decaying rate; ``now`` is in monotonic seconds."""

    def __init__(self) -> None:
        self._count = 0.0
        self._counted_at = 0.0

    def count(self, now: float) -> None:
        """Record one request."""
        self._decay(now)
        self._count += 1.0

    def per_second(self, now: float) -> float:
        """Return the recent requests per second."""
        self._decay(now)
        return self._count / DECAY_SECONDS

    def _decay(self, now: float) -> None:
        elapsed = max(0.0, now - self._counted_at)
        self._count *= math.exp(-elapsed / DECAY_SECONDS)
        self._counted_at = now
