from __future__ import annotations

from nose2.tools import params

from tests.process.entry.limit_day import LimitDay, LimitPlan

SEEDS = range(3)
MIN_USED = 0.8
MAX_READING_HOSTS = 62
"""Size of a fleet up to which calm days play the reading of heartbeats."""
SETTLED_SECONDS = 9.0
SIZES = ((3, 1.1), (7, 1.0), (7, 5.0), (62, 1.0), (62, 10.0), (370, 1.0), (370, 20.0))


def play(plan: LimitPlan) -> list[LimitDay]:
    return [LimitDay(plan, seed).play() for seed in SEEDS]


@params(*SIZES)
def test_hosts_keep_to_a_limit_together_and_use_it(hosts: int, limit: float):
    """However many hosts there are; no endpoint is left idle below its limit."""
    plan = LimitPlan(
        hosts, limit, demand=9 * limit, reads_heartbeats=hosts <= MAX_READING_HOSTS
    )
    for day in play(plan):
        assert day.worst_window <= day.allowed, (day.worst_window, day.allowed)
        assert day.used(SETTLED_SECONDS, 30.0) >= MIN_USED, day.used(
            SETTLED_SECONDS, 30.0
        )


def test_callers_at_one_host_use_the_whole_limit():
    """Its permits come from other hosts, as it needs them."""
    for day in play(LimitPlan(62, 2.0, demand=18.0, callers_at=1)):
        assert day.worst_window <= day.allowed, (day.worst_window, day.allowed)
        assert day.used(SETTLED_SECONDS, 30.0) >= MIN_USED, day.used(
            SETTLED_SECONDS, 30.0
        )


@params(1.0, 5.0)
def test_limit_holds_while_the_owner_of_its_permits_restarts(limit: float):
    """It has no permits in hand when it begins."""
    for day in play(LimitPlan(7, limit, demand=9 * limit, restart_at=12.0)):
        assert day.worst_window <= day.allowed, (day.worst_window, day.allowed)


@params(1.0, 5.0)
def test_limit_holds_while_the_owner_of_its_permits_is_cut_off(limit: float):
    """Who can't ask for a permit sends nothing."""
    for day in play(LimitPlan(7, limit, demand=9 * limit, cut_at=12.0)):
        assert day.worst_window <= day.allowed, (day.worst_window, day.allowed)


def test_end_of_a_limit_is_followed_within_two_seconds():
    """Also by hosts that have sent the endpoint nothing meanwhile."""
    plan = LimitPlan(7, 1.0, demand=60.0, ends_at=15.0)
    for day in play(plan):
        served = day.used(17.0, 30.0) * plan.limit * plan.endpoints
        assert served >= 0.9 * plan.demand, served
