"""Equal shares of the balance for all live keepers."""

from __future__ import annotations

from knapweeddrum.core.budget.budget_demand import BudgetDemand
from knapweeddrum.core.budget.grant_policy import GrantPolicy


class FixedShares(GrantPolicy):
    """The baseline: a keeper whose tokens don't reach takes an equal share.

    It ignores demand and returns nothing.
    """

    def grant_tokens(self, demand: BudgetDemand) -> int:
        """Return an equal share of the balance when the free tokens don't reach."""
        if demand.free >= demand.wanted or demand.balance <= 0:
            return 0
        share = demand.balance // max(1, demand.live_keepers)
        return min(demand.balance, max(1, share))

    def surplus_tokens(self, demand: BudgetDemand) -> int:
        """Return 0: shares stay where they are."""
        return 0
