"""How long the store's replies take at this host."""

from __future__ import annotations

import collections
import statistics

SAMPLES = 4
"""Replies of which the middle one counts, so that a single slow one does not."""

MEMORY_SECONDS = 6.0
"""Time for which a delay is remembered, as callers keep their hosts so long."""


class ReplyDelay:
    """Tracks the delay of replies that the store gives at once.

    A host whose link or processor is overloaded sees all replies late. Times are in
    monotonic seconds, delays in seconds.
    """

    def __init__(self) -> None:
        self._samples: collections.deque[float] = collections.deque(maxlen=SAMPLES)
        self._medians: collections.deque[tuple[float, float]] = collections.deque()

    def record(self, delay: float, now: float) -> None:
        """Record the time from a question to its reply."""
        self._samples.append(delay)
        if len(self._samples) == SAMPLES:
            self._medians.append((now, statistics.median(self._samples)))

    def recent(self, now: float) -> float:
        """Return the largest usual delay of the last seconds, 0 if none is known."""
        while self._medians and now - self._medians[0][0] > MEMORY_SECONDS:
            self._medians.popleft()
        return max((median for _, median in self._medians), default=0.0)
