"""Requests in progress that an endpoint takes well."""

from __future__ import annotations

import math

LATE_SECONDS = 0.15
"""Time beyond the expected start from which an answer is late."""

LATE_IN_ROW = 2
"""Late answers in a row that lower the limit; one may be due to a slow moment."""

DECREASE = 0.8
"""Factor by which the limit falls."""

MIN_SECONDS_BETWEEN_DECREASES = 0.5
MIN_LIMIT = 4.0

GROWTH_FOR_EACH_ANSWER = 1.0
"""Requests by which an answer in time raises a limit that is nearly used."""

USED_FRACTION = 0.7
"""Part of the limit that must be in progress for such an answer to raise it."""

GROWTH_PER_SECOND = 0.15
"""Part by which the limit grows a second, so that the endpoint is tried again."""


class ConcurrencyLimit:
    """Raises the limit additively and lowers it by a factor, by late answers.

    Times are in monotonic seconds.
    """

    def __init__(self) -> None:
        self._limit = float("inf")
        self._changed_at = float("-inf")
        self._lowered_at = float("-inf")
        self._late_in_row = 0

    def limit(self, now: float) -> float:
        """Return the requests in progress up to which requests start in time."""
        if self._limit == float("inf"):
            return self._limit
        age = max(0.0, now - self._changed_at)
        return self._limit * math.pow(1.0 + GROWTH_PER_SECOND, age)

    def record(self, load: float, late_by: float, slots: int, now: float) -> None:
        """Record an answer's start.

        ``load`` is what was in progress when its request was sent, ``late_by`` the
        seconds beyond its expected start and ``slots`` the most that can run.
        """
        limit = self.limit(now)
        if late_by < LATE_SECONDS:
            self._late_in_row = 0
            if load >= limit * USED_FRACTION:
                limit += GROWTH_FOR_EACH_ANSWER
        else:
            self._late_in_row += 1
            pause = now - self._lowered_at
            if (
                self._late_in_row >= LATE_IN_ROW
                and pause >= MIN_SECONDS_BETWEEN_DECREASES
            ):
                limit = max(MIN_LIMIT, min(limit, load) * DECREASE)
                self._lowered_at = now
        self._limit = limit if limit < slots else float("inf")
        self._changed_at = now
