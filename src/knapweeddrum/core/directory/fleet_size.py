"""The number of hosts that share what the fleet may use."""

from __future__ import annotations

import collections

YOUNG_HOST_FRACTION = 0.2
"""Part of its share that a host has while it is young."""

ALONE_SECONDS = 3.0
"""Time after its start for which a host that sees no other may have missed some."""

COUNT_LIFETIME_SECONDS = 10.0
"""Time for which hosts that vanish are counted."""


class FleetSize:
    """Splits the limits of the fleet evenly between its hosts.

    A host that has not read which hosts there are has no share. A young host has a
    small one, because its predecessor may have used the share already, and because
    hosts that start together may not know each other yet. Times are in monotonic
    seconds.
    """

    def __init__(self) -> None:
        self._counts: collections.deque[tuple[float, int]] = collections.deque()
        self._first_read_at: float | None = None

    def record(self, count: int, now: float) -> None:
        """Record how many hosts are believed to run, this one included."""
        if self._first_read_at is None:
            self._first_read_at = now
        while self._counts and self._counts[-1][1] <= count:
            self._counts.pop()
        self._counts.append((now, count))

    def count(self, now: float) -> int:
        """Return the most hosts that ran a short time ago, 0 if none were read."""
        while (
            len(self._counts) > 1 and self._counts[1][0] <= now - COUNT_LIFETIME_SECONDS
        ):
            self._counts.popleft()
        return self._counts[0][1] if self._counts else 0

    def share(self, young_seconds: float, now: float) -> float:
        """Return this host's share, from 0 to 1.

        The host is young for ``young_seconds`` after it first read the hosts.
        """
        if self._first_read_at is None:
            return 0.0
        is_young = now - self._first_read_at < young_seconds
        return (YOUNG_HOST_FRACTION if is_young else 1.0) / self.count(now)
