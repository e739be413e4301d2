"""What one start of an endpoint has said of itself."""

from __future__ import annotations

FIRST_AVOIDANCE_SECONDS = 0.1
"""Time for which an endpoint is avoided after its first refusal in a row."""

MAX_DOUBLINGS = 5
"""Doublings of that time by further refusals in a row."""


class EndpointNotices:
    """Knows whether an endpoint leaves, backs off or has just refused requests.

    Times are in monotonic seconds. What holds for this host alone is the back-off.
    """

    def __init__(self) -> None:
        self.leaving_since: float | None = None
        """Time from which on the endpoint is known to leave; it does not come back."""
        self._backs_off_until = float("-inf")
        self._refused_at = float("-inf")
        self._refusals_in_row = 0

    def record_leaving(self, now: float) -> bool:
        """Record that it said it leaves; return whether that is new."""
        if self.leaving_since is not None:
            return False
        self.leaving_since = now
        return True

    def record_refusal(self, now: float) -> None:
        """Record that it turned a request away."""
        self._refused_at = now
        self._refusals_in_row += 1

    def record_back_off(self, until: float) -> None:
        """Record that it wants nothing from this host before ``until``."""
        self._backs_off_until = max(self._backs_off_until, until)

    def record_acceptance(self) -> None:
        """Record that it began to answer a request."""
        self._refusals_in_row = 0

    def back_off_left(self, now: float) -> float:
        """Return the seconds for which it wants nothing, 0 if it takes requests."""
        return max(0.0, self._backs_off_until - now)

    def takes_requests(self, now: float) -> bool:
        """Return whether it takes new requests from this host at all."""
        return self.leaving_since is None and self._backs_off_until <= now

    def is_avoided(self, now: float) -> bool:
        """Return whether others should serve first, as it has just refused."""
        if not self._refusals_in_row:
            return False
        doublings = min(self._refusals_in_row - 1, MAX_DOUBLINGS)
        return now - self._refused_at < FIRST_AVOIDANCE_SECONDS * 2.0**doublings

    def is_returning(self, now: float) -> bool:
        """Return whether one request must show that it takes requests again."""
        return self._refusals_in_row > 0 and self._backs_off_until > self._refused_at
