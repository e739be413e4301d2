"""Whether all that a host asks is answered late, whomever it asks."""

from __future__ import annotations

from knapweeddrum.value.link_source import LinkSource

QUICK_SECONDS = 0.25
"""Longest round trip that shows that the link has no long queue."""

WINDOW_SECONDS = 0.5
"""Time for which a round trip tells something."""

MIN_LATE_SOURCES = 2


class RoundTrips:
    """Keeps the last round trips to the store, other hosts and endpoints.

    One of these may be slow or away. If none answers quickly, the queue of this host's
    own link is long, by bytes that need not reach the process: those of callers who
    gave up are carried and then dropped. ``now`` is in monotonic seconds.
    """

    def __init__(self) -> None:
        self._quick_at = float("-inf")
        self._late_at = dict.fromkeys(LinkSource, float("-inf"))

    def record(
        self, source: LinkSource, seconds: float, now: float, *, is_answered: bool
    ) -> None:
        """Record a round trip that ended now, with or without an answer."""
        if is_answered and seconds <= QUICK_SECONDS:
            self._quick_at = now
        else:
            self._late_at[source] = now

    def record_work(self, seconds: float, now: float) -> None:
        """Record an answer that took work beside the trip: a late one tells nothing."""
        if seconds <= QUICK_SECONDS:
            self._quick_at = now

    def are_late(self, now: float) -> bool:
        """Return whether endpoints and others were late, and nobody was quick."""
        since = now - WINDOW_SECONDS
        if self._quick_at >= since or self._late_at[LinkSource.ENDPOINTS] < since:
            return False
        late = sum(late_at >= since for late_at in self._late_at.values())
        return late >= MIN_LATE_SOURCES
