"""Retry-after of refused requests."""

from __future__ import annotations

import random

from knapweeddrum.core.admission.decaying_counter import DecayingCounter

MIN_RETRY_AFTER_SECONDS = 1.0
"""Shortest retry-after."""

MAX_RETRY_AFTER_SECONDS = 60.0

REFUSAL_DECAY_SECONDS = 10.0
"""Time constant of the count of recent refusals."""


class RetryAfter:
    """Spreads the retries of refused callers over the time needed to serve them all."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._refusals = DecayingCounter(REFUSAL_DECAY_SECONDS)

    def seconds(self, predicted_wait: float, rate: float, now: float) -> float:
        """Count a refusal and return its retry-after in seconds.

        The value is drawn at random, so that refused callers do not retry together.
        ``predicted_wait`` is the backlog in seconds, ``rate`` the service rate in
        requests per second.
        """
        self._refusals.add(now)
        refusal_seconds = self._refusals.value(now) / rate
        horizon = MIN_RETRY_AFTER_SECONDS + predicted_wait + refusal_seconds
        latest = min(MAX_RETRY_AFTER_SECONDS, MIN_RETRY_AFTER_SECONDS + horizon)
        return self._rng.uniform(MIN_RETRY_AFTER_SECONDS, latest)
