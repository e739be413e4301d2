from __future__ import annotations

from knapweeddrum.core.budget.allowance_pool import AllowancePool
from knapweeddrum.core.budget.request_usage import RequestUsage
from knapweeddrum.message.call.allowance import Allowance
from knapweeddrum.message.fact.charge import Charge

BUDGET = "mill/main"


def pool_of(*slices: tuple[str, int]) -> AllowancePool:
    """Return a pool with slices of the named grants."""
    pool = AllowancePool("x/router/1")
    for grant_id, tokens in slices:
        pool.credit(grant_id, (Allowance(BUDGET, grant_id, tokens),))
    return pool


def figures(tokens: int) -> RequestUsage:
    return RequestUsage(request_key="r", run_id="a", tokens=tokens, outcome="finished")


def test_credit_counts_once():
    """A repeated credit adds nothing."""
    pool = pool_of(("g1", 10))
    assert not pool.credit("g1", (Allowance(BUDGET, "g1", 10),))
    assert pool.free(BUDGET) == 10


def test_reservation_spans_grants_and_settles_as_one():
    """A reservation over two grants gives one settlement and frees the rest."""
    pool = pool_of(("g1", 10), ("g2", 10))
    reservation = pool.reserve(BUDGET, 16)
    assert pool.reserve(BUDGET, 5) is None
    settlement = pool.settle(reservation, figures(12))
    assert (settlement.grant_id, settlement.tokens) == ("g1", 10)
    assert settlement.further == (Charge("g2", 2),)
    assert (pool.free(BUDGET), pool.reserved(BUDGET)) == (8, 0)


def test_settlement_charges_all_consumed_tokens():
    """Consumption above the reservation takes free tokens; the rest is charged too."""
    pool = pool_of(("g1", 10))
    settlement = pool.settle(pool.reserve(BUDGET, 4), figures(13))
    named = settlement.tokens + sum(c.tokens for c in settlement.further)
    assert (named, pool.free(BUDGET)) == (13, 0)


def test_withdrawn_slices_leave_the_pool():
    """Tokens taken out of the pool can't be reserved."""
    pool = pool_of(("g1", 10), ("g2", 5))
    assert sum(entry.tokens for entry in pool.withdraw(BUDGET, 12)) == 12
    assert sum(entry.tokens for entry in pool.withdraw_all()) == 3
    assert pool.reserve(BUDGET, 1) is None
