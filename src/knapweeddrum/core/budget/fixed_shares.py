"""Equal shares of the balance for all live keepers."""

from __future__ import annotations

from knapweeddrum.core.budget.budget_demand import BudgetDemand
from knapweeddrum.core.budget.grant_policy import GrantPolicy


class FixedShares(GrantPolicy):
    """Baseline policy: a keeper that holds too few tokens takes an equal share.

    Recent demand is ignored, and no tokens are returned.
    """

    def grant_tokens(self, demand: BudgetDemand) -> int:
        """Return an equal share of the balance if the free tokens are too few."""
        if demand.free >= demand.wanted or demand.balance <= 0:
            return 0
        share = demand.balance // max(1, demand.live_keepers)
        return min(demand.balance, max(1, share))

    def surplus_tokens(self, demand: BudgetDemand) -> int:
        """Return 0: the keeper keeps its share."""
        return 0
