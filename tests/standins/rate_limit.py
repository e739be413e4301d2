"""A limit on the rate of requests."""

from __future__ import annotations

import time


class RateLimit:
    """A token bucket whose burst is the requests of one second, but at least one."""

    def __init__(self) -> None:
        self._tokens = 1.0
        self._filled = 0.0

    def admit(self, rate: float) -> bool:
        """Return whether a request is within ``rate`` per second; 0 admits all."""
        if rate <= 0:
            return True
        now = time.monotonic()
        gained = (now - self._filled) * rate
        self._tokens = min(max(rate, 1.0), self._tokens + gained)
        self._filled = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
