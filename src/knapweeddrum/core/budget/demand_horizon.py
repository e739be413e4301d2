"""Grants sized by recent demand."""

from __future__ import annotations

from knapweeddrum.core.budget.budget_demand import BudgetDemand
from knapweeddrum.core.budget.grant_policy import GrantPolicy
from knapweeddrum.core.budget.horizon_parameters import HorizonParameters


class DemandHorizon(GrantPolicy):
    """Holds what recent demand takes within the horizon.

    The target is bounded below by the least grant and above by a share of the
    balance. That share shrinks with the balance, down to what requests at hand need,
    so that the end of a budget doesn't lie at a keeper that has no use for it.
    """

    def __init__(self, parameters: HorizonParameters) -> None:
        self._parameters = parameters

    def grant_tokens(self, demand: BudgetDemand) -> int:
        """Return what lacks to the target once half of it is used up."""
        if demand.balance <= 0:
            return 0
        needed = max(0, demand.wanted - demand.free)
        target = self._target(demand)
        if not needed and demand.free * 2 > target:
            return 0
        keepers = max(1, demand.live_keepers)
        cap = int(demand.balance * self._parameters.balance_share / keepers)
        ahead = min(target - demand.free, cap)
        return min(demand.balance, max(needed, ahead, 0))

    def surplus_tokens(self, demand: BudgetDemand) -> int:
        """Return the free tokens far above what this keeper should hold.

        It holds no more ahead than the balance leaves for the others, so that tokens
        go back when a budget nears its end.
        """
        ahead = max(self._parameters.minimum, self._ahead(demand))
        target = max(demand.wanted, min(ahead, demand.balance))
        if demand.free <= target * self._parameters.surplus_factor:
            return 0
        return demand.free - target

    def _target(self, demand: BudgetDemand) -> int:
        return max(self._parameters.minimum, demand.wanted, self._ahead(demand))

    def _ahead(self, demand: BudgetDemand) -> int:
        return int(demand.rate * self._parameters.horizon)
