"""Use of one budget at this keeper."""

from __future__ import annotations

import dataclasses

import anyio

from knapweeddrum.core.budget.demand_rate import DemandRate

DEMAND_TIME_CONSTANT_SECONDS = 10.0
IDLE_SECONDS = 30.0
FORGET_SECONDS = 600.0


@dataclasses.dataclass(slots=True)
class BudgetUse:
    """Recent demand, the lock of its draws, and whether a refill is on its way."""

    last_draw: float
    rate: DemandRate = dataclasses.field(
        default_factory=lambda: DemandRate(DEMAND_TIME_CONSTANT_SECONDS)
    )
    lock: anyio.Lock = dataclasses.field(default_factory=anyio.Lock)
    is_refilling: bool = False

    def note_draw(self, tokens: int, now: float) -> None:
        """Count the tokens of a draw: what was handed out, or what was lacking."""
        self.rate.add(tokens, now)
        self.last_draw = now

    def is_idle(self, now: float) -> bool:
        """Return whether nobody has drawn for a while."""
        return now - self.last_draw > IDLE_SECONDS

    def is_forgettable(self, now: float) -> bool:
        """Return whether nothing is lost by forgetting this budget."""
        return now - self.last_draw > FORGET_SECONDS and not self.is_refilling
