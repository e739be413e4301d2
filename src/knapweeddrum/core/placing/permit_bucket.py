"""Permits to send requests to an endpoint that has named a limit."""

from __future__ import annotations

BURST_SECONDS = 0.5
"""Time for which unused permits are kept, beside one."""

MIN_PER_SECOND = 0.25
"""Rate at which an endpoint that names a lower limit is asked if it still does."""


class PermitBucket:
    """Hands out permits at the rate of a limit; times are in monotonic seconds.

    It starts empty, so that a host that becomes their owner adds none to those that
    the owner before has just given.
    """

    def __init__(self, per_second: float, now: float) -> None:
        self._per_second = max(MIN_PER_SECOND, per_second)
        self._burst_seconds = BURST_SECONDS
        self._permits = 0.0
        self._filled_at = now

    def set_rate(
        self, per_second: float, now: float, burst_seconds: float = BURST_SECONDS
    ) -> None:
        """Change the limit, and the time for which unused permits are kept."""
        self._fill(now)
        self._per_second = max(MIN_PER_SECOND, per_second)
        self._burst_seconds = burst_seconds

    def take(self, now: float) -> bool:
        """Take a permit; return whether there was one."""
        self._fill(now)
        if self._permits < 1.0:
            return False
        self._permits -= 1.0
        return True

    def wait(self, now: float) -> float:
        """Return the seconds until there is a permit."""
        self._fill(now)
        return max(0.0, (1.0 - self._permits) / self._per_second)

    def _fill(self, now: float) -> None:
        most = 1.0 + self._per_second * self._burst_seconds
        added = max(0.0, now - self._filled_at) * self._per_second
        self._permits = min(most, self._permits + added)
        self._filled_at = max(self._filled_at, now)
