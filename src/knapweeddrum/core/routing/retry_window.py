"""Bound on the retries of one host in any window of time."""

from __future__ import annotations

import collections

BUCKETS_PER_WINDOW = 20
"""Parts of the window in which requests are counted together."""


class RetryWindow:
    """Allows retries in proportion to the requests of the same window, plus a slack.

    The retries in any window are at most ``ratio`` times its requests and ``slack``.
    Unlike a token bucket it saves nothing up, so that the sum over all hosts stays
    within the bound that the hosts share. Times are in monotonic seconds.
    """

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window = window
        self._retries: collections.deque[float] = collections.deque()
        self._requests: collections.deque[_Bucket] = collections.deque()
        self._request_count = 0

    @property
    def limit(self) -> float:
        """Return the retries that a window with the present requests may have."""
        return self.ratio * self._request_count + self.slack

    def deposit(self, now: float) -> None:
        """Count a request, once at its first attempt."""
        self._forget(now)
        width = self.window / BUCKETS_PER_WINDOW
        if not self._requests or now - self._requests[-1].started_at >= width:
            self._requests.append(_Bucket(now))
        self._requests[-1].count += 1
        self._request_count += 1

    def withdraw(self, now: float) -> bool:
        """Take one retry; return False if the window has no room for it."""
        if self.left(now) < 1.0:
            return False
        self._retries.append(now)
        return True

    def left(self, now: float) -> float:
        """Return the retries that the window has room for."""
        self._forget(now)
        return self.limit - len(self._retries)

    def _forget(self, now: float) -> None:
        """Forget what is older than the window."""
        oldest = now - self.window
        while self._retries and self._retries[0] <= oldest:
            self._retries.popleft()
        while self._requests and self._requests[0].started_at <= oldest:
            self._request_count -= self._requests.popleft().count


class _Bucket:
    """Requests that were counted together from ``started_at`` on."""

    __slots__ = ("count", "started_at")

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.count = 0
