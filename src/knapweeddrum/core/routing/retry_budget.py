"""Token bucket that bounds retries."""

from __future__ import annotations

RETRY_RATIO = 0.1
"""Retries that each request adds to the budget."""

RETRY_BUDGET_LIMIT = 10.0
"""Retries that the budget holds at most."""

RETRIES_REFILLED_PER_SECOND = 0.2
"""Retries added per second, so that a router with few requests can retry."""


class RetryBudget:
    """Allows retries in proportion to requests; ``now`` is in monotonic seconds."""

    def __init__(
        self, now: float, ratio: float = RETRY_RATIO, limit: float = RETRY_BUDGET_LIMIT
    ) -> None:
        self._ratio = ratio
        self._limit = limit
        self._tokens = limit
        self._refilled_at = now

    def deposit(self) -> None:
        """Add to the budget for a request, once at its first attempt."""
        self._tokens = min(self._limit, self._tokens + self._ratio)

    def withdraw(self, now: float) -> bool:
        """Take one retry from the budget; return False if there is none."""
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = max(now, self._refilled_at)
        self._tokens = min(
            self._limit, self._tokens + elapsed * RETRIES_REFILLED_PER_SECOND
        )
