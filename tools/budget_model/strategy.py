"""The allocation strategies that are compared."""

from __future__ import annotations

import dataclasses

from knapweeddrum.core.budget.budget_ledger import BudgetLedger
from knapweeddrum.core.budget.costlier_error import CostlierError
from knapweeddrum.core.budget.demand_horizon import DemandHorizon
from knapweeddrum.core.budget.fixed_shares import FixedShares
from knapweeddrum.core.budget.grant_policy import GrantPolicy
from knapweeddrum.core.budget.horizon_parameters import HorizonParameters
from knapweeddrum.process.keeper.grant_manager import UNLOCK_AHEAD_SECONDS
from tools.budget_model.expiring_grant_ledger import ExpiringGrantLedger

HORIZON_SECONDS = 10.0
MINIMUM_GRANT_TOKENS = 2_000
"""As in the example settings."""

LONG_HORIZON_SECONDS = 120.0
LONG_OPEN_AHEAD_SECONDS = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Strategy:
    """An allocation strategy: which mechanisms of the keeper are enabled.

    ``weigh`` is None for the baseline, which ignores it. ``horizon`` and ``open_ahead``
    (demand to unlock in advance) are in seconds.
    """

    name: str
    weigh: CostlierError | None
    transfers: bool = False
    witnessed: bool = False
    horizon: float = HORIZON_SECONDS
    open_ahead: float = UNLOCK_AHEAD_SECONDS
    ledger: type[BudgetLedger] = BudgetLedger

    @property
    def is_unsafe(self) -> bool:
        """Return whether this is the unsafe strategy, which may overspend."""
        return self.ledger is not BudgetLedger

    def policy(self) -> GrantPolicy:
        """Return the allocation policy."""
        if self.weigh is None:
            return FixedShares()
        parameters = HorizonParameters.for_costlier_error(
            self.weigh, self.horizon, MINIMUM_GRANT_TOKENS
        )
        return DemandHorizon(parameters)


def _horizon_strategies(weigh: CostlierError) -> tuple[Strategy, ...]:
    witness = Strategy(
        "horizon_transfers_witness", weigh, transfers=True, witnessed=True
    )
    return (
        Strategy("demand_horizon", weigh),
        Strategy("horizon_transfers", weigh, transfers=True),
        witness,
        dataclasses.replace(
            witness, name="long_horizon_witness", horizon=LONG_HORIZON_SECONDS
        ),
    )


def _long_horizon_strategies(weigh: CostlierError) -> tuple[Strategy, ...]:
    """Return long horizons: without a witness, and with more tokens unlocked ahead."""
    transfers = Strategy(
        "long_horizon_transfers", weigh, transfers=True, horizon=LONG_HORIZON_SECONDS
    )
    return (
        transfers,
        dataclasses.replace(
            transfers,
            name="long_horizon_witness_open_ahead",
            witnessed=True,
            open_ahead=LONG_OPEN_AHEAD_SECONDS,
        ),
    )


UNSAFE_STRATEGY = Strategy(
    "unsafe_lapse",
    CostlierError.FALSE_REFUSALS,
    transfers=True,
    ledger=ExpiringGrantLedger,
)
STRATEGIES = (
    Strategy("fixed_shares", None),
    *_horizon_strategies(CostlierError.OVERSPEND),
    *_horizon_strategies(CostlierError.FALSE_REFUSALS),
    *_long_horizon_strategies(CostlierError.FALSE_REFUSALS),
    UNSAFE_STRATEGY,
)
