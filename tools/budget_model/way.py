"""The ways of allocation that are measured side by side."""

from __future__ import annotations

import dataclasses

from knapweeddrum.core.budget.budget_ledger import BudgetLedger
from knapweeddrum.core.budget.demand_horizon import DemandHorizon
from knapweeddrum.core.budget.fixed_shares import FixedShares
from knapweeddrum.core.budget.grant_policy import GrantPolicy
from knapweeddrum.core.budget.horizon_parameters import HorizonParameters
from knapweeddrum.core.budget.weigh import Weigh
from tools.budget_model.lapsing_ledger import LapsingLedger

HORIZON_SECONDS = 10.0
MINIMUM_TOKENS = 2_000
"""As in the example settings."""


@dataclasses.dataclass(frozen=True, slots=True)
class Way:
    """Mechanisms that are on; ``weigh`` is None for the baseline, which ignores it."""

    name: str
    weigh: Weigh | None
    transfers: bool = False
    witnessed: bool = False
    ledger: type[BudgetLedger] = BudgetLedger

    @property
    def is_unsafe(self) -> bool:
        """Tell whether this is the companion that may overspend."""
        return self.ledger is not BudgetLedger

    def policy(self) -> GrantPolicy:
        """Return the allocation policy."""
        if self.weigh is None:
            return FixedShares()
        return DemandHorizon(
            HorizonParameters.for_weigh(self.weigh, HORIZON_SECONDS, MINIMUM_TOKENS)
        )


def _horizon_ways(weigh: Weigh) -> tuple[Way, ...]:
    return (
        Way("demand_horizon", weigh),
        Way("horizon_transfers", weigh, transfers=True),
        Way("horizon_transfers_witness", weigh, transfers=True, witnessed=True),
    )


WAYS = (
    Way("fixed_shares", None),
    *_horizon_ways(Weigh.OVERSPEND),
    *_horizon_ways(Weigh.FALSE_REFUSALS),
    Way("unsafe_lapse", Weigh.FALSE_REFUSALS, transfers=True, ledger=LapsingLedger),
)
