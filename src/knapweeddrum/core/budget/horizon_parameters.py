"""Parameters of the allocation by recent demand."""

from __future__ import annotations

import dataclasses

from knapweeddrum.core.budget.costlier_error import CostlierError

FALSE_REFUSALS_HORIZON_FACTOR = 30
"""Multiple of the configured horizon if false refusals cost more than overspend."""


@dataclasses.dataclass(frozen=True, slots=True)
class HorizonParameters:
    """Horizon in seconds, minimum grant in tokens, and two factors.

    One grant takes at most ``balance_fraction`` of the balance, divided by the number
    of live keepers. If the free tokens exceed ``surplus_factor`` times the target,
    those above the target are returned.
    """

    horizon: float
    minimum: int
    balance_fraction: float
    surplus_factor: float

    @classmethod
    def for_costlier_error(
        cls, costlier_error: CostlierError, horizon: float, minimum: int
    ) -> HorizonParameters:
        """Return the parameters for the error that costs a deployment more."""
        if costlier_error is CostlierError.OVERSPEND:
            return cls(horizon, minimum, balance_fraction=0.5, surplus_factor=2.0)
        return cls(
            horizon * FALSE_REFUSALS_HORIZON_FACTOR,
            minimum,
            balance_fraction=0.9,
            surplus_factor=4.0,
        )
