"""Parameters of the allocation by demand and horizon."""

from __future__ import annotations

import dataclasses

from knapweeddrum.core.budget.weigh import Weigh

FALSE_REFUSALS_HORIZON_FACTOR = 30
"""Multiple of the horizon when false refusals cost more."""


@dataclasses.dataclass(frozen=True, slots=True)
class HorizonParameters:
    """Horizon in seconds, least grant in tokens, and two shares.

    One grant takes at most ``balance_share`` of the balance, divided by the live
    keepers. Free tokens above ``surplus_factor`` times the target go back.
    """

    horizon: float
    minimum: int
    balance_share: float
    surplus_factor: float

    @classmethod
    def for_weigh(cls, weigh: Weigh, horizon: float, minimum: int) -> HorizonParameters:
        """Return the parameters of a deployment's choice."""
        if weigh is Weigh.OVERSPEND:
            return cls(horizon, minimum, balance_share=0.5, surplus_factor=2.0)
        return cls(
            horizon * FALSE_REFUSALS_HORIZON_FACTOR,
            minimum,
            balance_share=0.9,
            surplus_factor=4.0,
        )
