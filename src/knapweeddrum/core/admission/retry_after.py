"""Retry-after of refused requests."""

from __future__ import annotations

import random

from knapweeddrum.core.admission.decaying_counter import DecayingCounter

BASE_SECONDS = 1.0
"""Shortest retry-after."""

MAX_SECONDS = 60.0

REFUSAL_WINDOW_SECONDS = 10.0
"""Time constant of the count of recent refusals."""


class RetryAfter:
    """Spreads the retries of refused callers over the time needed to serve them all."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._refusals = DecayingCounter(REFUSAL_WINDOW_SECONDS)

    def seconds(self, predicted_wait: float, rate: float, now: float) -> float:
        """Count a refusal and return its retry-after in seconds.

        The value is drawn at random, so that refused callers do not retry together.
        ``predicted_wait`` is the backlog in seconds, ``rate`` the service rate in
        requests per second.
        """
        self._refusals.add(now)
        to_serve = self._refusals.value(now) / rate
        horizon = BASE_SECONDS + predicted_wait + to_serve
        latest = min(MAX_SECONDS, BASE_SECONDS + horizon)
        return self._rng.uniform(BASE_SECONDS, latest)
