"""Requests that wait for tokens of one budget."""

from __future__ import annotations

from collections import deque

from knapweeddrum.core.admission.decaying_counter import DecayingCounter
from knapweeddrum.message.call.shortfall import Shortfall
from knapweeddrum.process.router.reservation_waiter import ReservationWaiter

DEMAND_WINDOW_SECONDS = 2.0
"""Time constant of the recent demand, which is drawn ahead."""


class ReservationQueue:
    """Waiters in order of arrival, recent demand and the last shortfall."""

    def __init__(self, now: float) -> None:
        self.waiters: deque[ReservationWaiter] = deque()
        self.is_drawing = False
        self.shortfall: Shortfall | None = None
        self.used_at = now
        self._demand = DecayingCounter(DEMAND_WINDOW_SECONDS)

    def note_demand(self, tokens: int, now: float) -> None:
        """Count the tokens that a request asked for."""
        self.used_at = now
        self._demand.add(now, tokens)

    def recent_demand(self, now: float) -> int:
        """Return the tokens asked for in the recent past."""
        return int(self._demand.value(now))

    def waiting_tokens(self) -> int:
        """Return the tokens that all waiters together want."""
        return sum(waiter.tokens for waiter in self.waiters)
