from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st
from nose2.tools import params

from knapweeddrum.core.budget.budget_demand import BudgetDemand
from knapweeddrum.core.budget.costlier_error import CostlierError
from knapweeddrum.core.budget.demand_horizon import DemandHorizon
from knapweeddrum.core.budget.demand_rate import DemandRate
from knapweeddrum.core.budget.fixed_shares import FixedShares
from knapweeddrum.core.budget.grant_policy import GrantPolicy
from knapweeddrum.core.budget.horizon_parameters import HorizonParameters

KEEPERS = 7
REQUEST_TOKENS = 50
DEPOSIT = 100_000
SEED = 4


def horizon(costlier_error: CostlierError) -> DemandHorizon:
    parameters = HorizonParameters.for_costlier_error(
        costlier_error, horizon=10.0, minimum=200
    )
    return DemandHorizon(parameters)


POLICIES = (
    FixedShares(),
    horizon(CostlierError.OVERSPEND),
    horizon(CostlierError.FALSE_REFUSALS),
)
DEMANDS = st.builds(
    BudgetDemand,
    balance=st.integers(0, 10_000),
    free=st.integers(0, 1_000),
    wanted=st.integers(0, 1_000),
    rate=st.floats(0, 1e6),
    live_keepers=st.integers(0, 400),
)


@params(*POLICIES)
def test_policy_moves_only_available_tokens(policy):
    """Grants don't exceed the balance, and surplus doesn't exceed the free tokens."""

    @given(DEMANDS)
    def search(demand):
        assert 0 <= policy.grant_tokens(demand) <= demand.balance
        assert 0 <= policy.surplus_tokens(demand) <= demand.free

    search()


@params(*POLICIES[1:])
def test_horizon_covers_the_request_at_hand(policy):
    """A grant covers the tokens missing for a request, up to the balance."""

    @given(DEMANDS)
    def search(demand):
        missing = min(max(0, demand.wanted - demand.free), demand.balance)
        assert policy.grant_tokens(demand) >= missing

    search()


def refused_while_tokens_remain(policy: GrantPolicy) -> int:
    """Serve requests, most at one keeper, and count those refused.

    Ends when neither the balance nor any keeper has the tokens of one request.
    """
    source = random.Random(SEED)
    balance, free = DEPOSIT, [0] * KEEPERS
    rates = [DemandRate(30.0) for _ in range(KEEPERS)]
    refused, time = 0, 0.0
    while max(balance, *free) >= REQUEST_TOKENS:
        time += 0.1
        keeper = 0 if source.random() < 0.8 else source.randrange(KEEPERS)
        rates[keeper].add(REQUEST_TOKENS, time)
        rate = rates[keeper].at(time)
        demand = BudgetDemand(balance, free[keeper], REQUEST_TOKENS, rate, KEEPERS)
        granted = policy.grant_tokens(demand)
        balance -= granted
        free[keeper] += granted
        if free[keeper] < REQUEST_TOKENS:
            refused += 1
        else:
            free[keeper] -= REQUEST_TOKENS
        idle = (keeper + 1) % KEEPERS
        demand = BudgetDemand(balance, free[idle], 0, rates[idle].at(time), KEEPERS)
        returned = policy.surplus_tokens(demand)
        free[idle] -= returned
        balance += returned
    return refused


def test_horizon_refuses_less_than_fixed_shares():
    """With uneven demand fewer requests are refused than with equal shares."""
    shares, *horizons = (refused_while_tokens_remain(policy) for policy in POLICIES)
    assert max(horizons) < shares


@params(*POLICIES[1:])
def test_tokens_held_ahead_of_demand_are_returned_when_the_balance_is_empty(policy):
    """If the balance is empty, tokens that no request needs are returned."""
    demand = BudgetDemand(balance=0, free=150, wanted=0, rate=1e3, live_keepers=KEEPERS)
    assert policy.surplus_tokens(demand) == 150
