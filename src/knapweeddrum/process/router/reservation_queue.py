"""Requests that wait for tokens of one budget."""

from __future__ import annotations

from collections import deque

from knapweeddrum.core.admission.decaying_counter import DecayingCounter
from knapweeddrum.message.call.shortfall import Shortfall
from knapweeddrum.process.router.reservation_waiter import ReservationWaiter

DEMAND_TIME_CONSTANT_SECONDS = 2.0
"""Time constant of the recent demand, which is added to the next draw."""


class ReservationQueue:
    """Waiters of one budget in order of arrival, its recent demand and last shortfall.

    ``used_at`` is the monotonic time of the latest request, in seconds.
    """

    def __init__(self, now: float) -> None:
        self.waiters: deque[ReservationWaiter] = deque()
        self.is_drawing = False
        self.shortfall: Shortfall | None = None
        self.used_at = now
        self._demand = DecayingCounter(DEMAND_TIME_CONSTANT_SECONDS)

    def record_demand(self, tokens: int, now: float) -> None:
        """Record the tokens that a request asked for."""
        self.used_at = now
        self._demand.add(now, tokens)

    def recent_demand(self, now: float) -> int:
        """Return the tokens asked for recently, weighted by exponential decay."""
        return int(self._demand.value(now))

    def waiting_tokens(self) -> int:
        """Return the tokens that all waiters ask for together."""
        return sum(waiter.tokens for waiter in self.waiters)
