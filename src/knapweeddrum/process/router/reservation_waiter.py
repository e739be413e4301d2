"""A request that waits for its reservation."""

from __future__ import annotations

import anyio

from knapweeddrum.core.budget.reservation import Reservation
from knapweeddrum.value.refusal import Refusal


class ReservationWaiter:
    """Wants ``tokens``; ``outcome`` is set once, then ``decided``.

    The outcome stays here until the waiting task takes it, so that a reservation
    isn't lost when that task is cancelled at the same moment.
    """

    def __init__(self, tokens: int) -> None:
        self.tokens = tokens
        self.outcome: Reservation | Refusal | None = None
        self.decided = anyio.Event()

    def decide(self, outcome: Reservation | Refusal) -> None:
        """Set the outcome."""
        self.outcome = outcome
        self.decided.set()

    def take(self) -> Reservation | Refusal | None:
        """Hand the outcome over; None when there is none, or it was taken."""
        outcome, self.outcome = self.outcome, None
        return outcome
