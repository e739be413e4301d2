"""A request that waits for its reservation."""

from __future__ import annotations

import anyio

from knapweeddrum.core.budget.reservation import Reservation
from knapweeddrum.value.refusal import Refusal


class ReservationWaiter:
    """Waits for ``tokens``; ``outcome`` is set once, then the event ``decided``.

    The outcome is kept here until the waiting task takes it, so that a reservation
    is not lost when that task is cancelled at the same moment.
    """

    def __init__(self, tokens: int) -> None:
        self.tokens = tokens
        self.outcome: Reservation | Refusal | None = None
        self.decided = anyio.Event()

    def decide(self, outcome: Reservation | Refusal) -> None:
        """Set the outcome and wake the waiting task."""
        self.outcome = outcome
        self.decided.set()

    def take(self) -> Reservation | Refusal | None:
        """Remove and return the outcome; None if not decided or already taken."""
        outcome, self.outcome = self.outcome, None
        return outcome
