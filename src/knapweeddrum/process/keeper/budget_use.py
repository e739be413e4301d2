"""Recent use of one budget at this keeper."""

from __future__ import annotations

import dataclasses

import anyio

from knapweeddrum.core.budget.demand_rate import DemandRate

DEMAND_TIME_CONSTANT_SECONDS = 10.0
BUDGET_IDLE_SECONDS = 30.0
BUDGET_FORGET_SECONDS = 600.0


@dataclasses.dataclass(slots=True)
class BudgetUse:
    """Recent demand, the lock that draws hold, and whether a refill is pending.

    Times are in seconds of the monotonic clock. A refill is a grant that is requested
    before the keeper runs out of tokens.
    """

    last_draw: float
    rate: DemandRate = dataclasses.field(
        default_factory=lambda: DemandRate(DEMAND_TIME_CONSTANT_SECONDS)
    )
    lock: anyio.Lock = dataclasses.field(default_factory=anyio.Lock)
    is_refilling: bool = False

    def record_draw(self, tokens: int, now: float) -> None:
        """Add the tokens of a draw to the demand, and record its time.

        ``tokens`` are those handed out, or the minimum of the draw if it was refused.
        """
        self.rate.add(tokens, now)
        self.last_draw = now

    def is_idle(self, now: float) -> bool:
        """Return whether no router has drawn for BUDGET_IDLE_SECONDS."""
        return now - self.last_draw > BUDGET_IDLE_SECONDS

    def is_forgettable(self, now: float) -> bool:
        """Return whether the budget is long unused and has no pending refill."""
        return now - self.last_draw > BUDGET_FORGET_SECONDS and not self.is_refilling
