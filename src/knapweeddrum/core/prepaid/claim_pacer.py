"""Pace at which one host writes its claims on prepaid tokens."""

from __future__ import annotations

import random

FLEET_RETRIES_PER_SECOND = 60.0
"""Lost writes a second that all hosts together repeat unasked."""

RETRY_SECONDS_PER_HOST = 0.005
"""Longest delay of a lost write for one waiting request, for each host of the fleet."""

MIN_UNASKED_RETRY_SECONDS = 0.3
"""Least time until a lost write is tried again for which no request waits."""

SPREAD = (0.7, 1.3)
"""Least and greatest factor on a delay, so that hosts don't write in step."""


class ClaimPacer:
    """Spaces the repeated writes of a host while hosts race for the stream of claims.

    Each write fails if another host has written since this one read the stream. A host
    that has lost tries again the sooner the more requests wait for it, and later if
    none does. Times are in monotonic seconds.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._has_lost = False
        self._next_unasked_write_at = float("-inf")

    @property
    def has_lost(self) -> bool:
        """Return whether the last write lost, so that the stream must be read again."""
        return self._has_lost

    def record_lost(self, hosts: int, now: float) -> None:
        """Record a write before which another of so many hosts had written."""
        self._has_lost = True
        part = hosts / FLEET_RETRIES_PER_SECOND * self._rng.uniform(*SPREAD)
        self._next_unasked_write_at = now + max(MIN_UNASKED_RETRY_SECONDS, part)

    def record_written(self) -> None:
        """Record a write that was carried out."""
        self._has_lost = False

    def seconds_to_retry(self, now: float) -> float | None:
        """Return when to repeat a lost write that no request waits for, None for never.

        It is None once the time has come, whether or not the write was repeated.
        """
        if not self._has_lost or now >= self._next_unasked_write_at:
            return None
        return self._next_unasked_write_at - now

    def delay_after_loss(self, hosts: int, waiting: int) -> float:
        """Return the seconds to wait before a lost write is tried again.

        ``waiting`` is the number of requests that wait for it, at least one.
        """
        longest = hosts * RETRY_SECONDS_PER_HOST / waiting**2
        return self._rng.uniform(0.0, longest)
