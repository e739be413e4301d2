"""Grants sized by recent demand."""

from __future__ import annotations

from knapweeddrum.core.budget.budget_demand import BudgetDemand
from knapweeddrum.core.budget.grant_policy import GrantPolicy
from knapweeddrum.core.budget.horizon_parameters import HorizonParameters


class DemandHorizon(GrantPolicy):
    """Holds the tokens that recent demand consumes within the horizon.

    A keeper holds at least the minimum grant, and asks for at most a fraction of the
    balance unless a draw at hand needs more. The amount decreases with the balance, so
    that the last tokens of a budget aren't held by a keeper that doesn't need them.
    """

    def __init__(self, parameters: HorizonParameters) -> None:
        self._parameters = parameters

    def grant_tokens(self, demand: BudgetDemand) -> int:
        """Return the tokens missing to the target once half of it is used up."""
        if demand.balance <= 0:
            return 0
        needed = max(0, demand.wanted - demand.free)
        target = self._target(demand)
        if not needed and demand.free * 2 > target:
            return 0
        keepers = max(1, demand.live_keepers)
        limit = int(demand.balance * self._parameters.balance_fraction / keepers)
        refill = min(target - demand.free, limit)
        return min(demand.balance, max(needed, refill, 0))

    def surplus_tokens(self, demand: BudgetDemand) -> int:
        """Return the free tokens above the target if they far exceed it.

        The target for expected demand is limited to the balance that is left for the
        other keepers, so that tokens are returned when a budget is nearly used up.
        """
        expected = max(self._parameters.minimum, self._expected_demand(demand))
        target = max(demand.wanted, min(expected, demand.balance))
        if demand.free <= target * self._parameters.surplus_factor:
            return 0
        return demand.free - target

    def _target(self, demand: BudgetDemand) -> int:
        return max(
            self._parameters.minimum, demand.wanted, self._expected_demand(demand)
        )

    def _expected_demand(self, demand: BudgetDemand) -> int:
        return int(demand.rate * self._parameters.horizon)
