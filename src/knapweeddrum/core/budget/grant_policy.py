"""Interface of the policies by which keepers allocate a budget."""

from __future__ import annotations

import abc

from knapweeddrum.core.budget.budget_demand import BudgetDemand


class GrantPolicy(abc.ABC):
    """Decides how much of a budget's balance a keeper takes and how much it returns.

    No policy can cause overspend, as it only moves tokens between balance and grants.
    """

    @abc.abstractmethod
    def grant_tokens(self, demand: BudgetDemand) -> int:
        """Return the tokens to ask for in a grant now; 0 if none."""

    @abc.abstractmethod
    def surplus_tokens(self, demand: BudgetDemand) -> int:
        """Return the free tokens to return to the balance now; 0 if none."""
