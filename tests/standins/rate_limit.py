"""A limit on the rate of requests."""

from __future__ import annotations

import time


class RateLimit:
    """A token bucket that holds one second's worth, and one token at least."""

    def __init__(self) -> None:
        self._tokens = 1.0
        self._filled = 0.0

    def admit(self, rate: float) -> bool:
        """Return whether a request may pass at ``rate`` a second; 0 is no limit."""
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
