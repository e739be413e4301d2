"""Pace at which one host writes its claims on prepaid tokens."""

from __future__ import annotations

import random

FLEET_WRITES_PER_SECOND = 60.0
"""Writes a second of all hosts together that hardly make one another fail."""

RETRY_SECONDS_PER_HOST = 0.005
"""Longest delay of a lost write for one waiting request, for each host of the fleet."""

MIN_UNASKED_RETRY_SECONDS = 0.3
"""Least time until a lost write is tried again for which no request waits."""

SPREAD = (0.7, 1.3)
"""Least and greatest factor on a pause, so that hosts don't write in step."""


class ClaimPacer:
    """Spaces the writes of a host while hosts race for the stream of claims.

    Each write fails if another host has written since this one read the stream, so the
    slowest host loses every race that goes on without a break. A host that has won
    after others had made it lose leaves the stream to them for its part of the time,
    and a host that has lost tries again the sooner the more requests wait for it.
    Times are in monotonic seconds.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._has_lost = False
        self._next_write_at = float("-inf")
        self._next_unasked_write_at = float("-inf")

    @property
    def has_lost(self) -> bool:
        """Return whether the last write lost, so that the stream must be read again."""
        return self._has_lost

    def record_lost(self, hosts: int, now: float) -> None:
        """Record a write before which another of so many hosts had written."""
        self._has_lost = True
        retry = max(MIN_UNASKED_RETRY_SECONDS, self._part(hosts))
        self._next_unasked_write_at = now + retry

    def record_written(self, hosts: int, now: float) -> None:
        """Record a write that was carried out, in a fleet of so many hosts."""
        if self._has_lost:
            self._next_write_at = now + self._part(hosts)
        self._has_lost = False

    def pause(self, now: float, *, is_asked: bool) -> float:
        """Return the seconds until the next write, 0 if it may be tried now.

        ``is_asked`` tells whether requests wait for it.
        """
        allowed_at = self._next_write_at
        if self._has_lost and not is_asked:
            allowed_at = max(allowed_at, self._next_unasked_write_at)
        return max(0.0, allowed_at - now)

    def seconds_to_retry(self, now: float) -> float | None:
        """Return when to repeat a lost write that no request waits for, None for never.

        It is None once the time has come, whether or not the write was repeated.
        """
        return self.pause(now, is_asked=False) or None

    def delay_after_loss(self, hosts: int, waiting: int) -> float:
        """Return the seconds to wait before a lost write is tried again.

        ``waiting`` is the number of requests that wait for it, at least one.
        """
        longest = hosts * RETRY_SECONDS_PER_HOST / waiting**2
        return self._rng.uniform(0.0, longest)

    def _part(self, hosts: int) -> float:
        """Return the time in which each host of the fleet may write once."""
        return hosts / FLEET_WRITES_PER_SECOND * self._rng.uniform(*SPREAD)
