from __future__ import annotations

import os

from nose2.tools import params

from tests.process.entry.limit_day import LimitDay, LimitPlan, Trouble, TroubleKind
from tests.process.entry.limit_troubles import mixed_plan

SEEDS = int(os.environ.get("KNAPWEED_LIMIT_SEEDS", "3"))
LARGE_HOSTS = 62
LARGE_SEEDS = int(os.environ.get("KNAPWEED_LIMIT_SEEDS", "1"))
"""Fewer, as a day of so many hosts takes ten seconds."""
CONTRADICTED_SEEDS = range(40)
LARGE_MIXED_SEED = 25
MIXED_SEEDS = range(int(os.environ.get("KNAPWEED_LIMIT_SEEDS", "20")))
TROUBLE_AT = 9.0
TROUBLE_SECONDS = 14.0
MIN_USED = 0.5
SIZES = ((3, 1.1), (7, 1.0), (7, 3.0), (62, 3.0))


def seeds(hosts: int) -> range:
    return range(SEEDS if hosts < LARGE_HOSTS else LARGE_SEEDS)


def assert_holds(day: LimitDay) -> None:
    assert day.worst_window <= day.allowed, (day.worst_window, day.allowed, day.plan)


def play_write_trouble(
    kind: TroubleKind, hosts: int, limit: float, troubled: tuple[int, ...]
) -> None:
    """Play days on which writes fail; the limit must hold and half of it be used."""
    trouble = Trouble(kind, TROUBLE_AT, TROUBLE_SECONDS, troubled)
    plan = LimitPlan(hosts, limit, demand=9 * limit, troubles=(trouble,))
    for seed in seeds(hosts):
        day = LimitDay(plan, seed).play()
        assert_holds(day)
        used = day.used(TROUBLE_AT, TROUBLE_AT + TROUBLE_SECONDS)
        assert used >= MIN_USED, used


@params(*SIZES)
def test_limit_holds_while_no_host_can_write_heartbeats(hosts: int, limit: float):
    """Hosts that live are not taken for gone."""
    play_write_trouble(TroubleKind.WRITES_REFUSED, hosts, limit, ())


@params(*SIZES)
def test_limit_holds_while_some_hosts_cannot_write_heartbeats(hosts: int, limit: float):
    """Neither by those that can't nor by the others."""
    troubled = tuple(range(0, hosts, 2))
    play_write_trouble(TroubleKind.WRITES_REFUSED, hosts, limit, troubled)


@params(*SIZES)
def test_limit_holds_while_heartbeats_are_late_or_unanswered(hosts: int, limit: float):
    """A heartbeat that comes seconds late is one all the same."""
    for kind in (TroubleKind.WRITES_LATE, TroubleKind.WRITES_LOST):
        play_write_trouble(kind, hosts, limit, ())
        play_write_trouble(kind, hosts, limit, tuple(range(0, hosts, 2)))


@params(*SIZES)
def test_limit_holds_while_refusals_do_not_name_it(hosts: int, limit: float):
    """An answer that the endpoint gives without beginning the work ends no limit."""
    for seed in seeds(hosts):
        plan = LimitPlan(hosts, limit, demand=9 * limit, refused=0.2)
        assert_holds(LimitDay(plan, seed).play())


@params(*SIZES)
def test_limit_holds_while_some_whole_answers_do_not_name_it(hosts: int, limit: float):
    """One answer does not open the gate for all hosts."""
    for seed in seeds(hosts):
        plan = LimitPlan(hosts, limit, demand=9 * limit, unnamed=0.2)
        assert_holds(LimitDay(plan, seed).play())


def test_limit_holds_at_an_endpoint_that_often_contradicts_itself():
    """A fifth of its whole answers name no limit, four in a row now and then."""
    plan = LimitPlan(7, 5.0, demand=45.0, unnamed=0.2)
    days = {seed: LimitDay(plan, seed).play() for seed in CONTRADICTED_SEEDS}
    worst = {seed: day.worst_window for seed, day in days.items()}
    above = {seed: most for seed, most in worst.items() if most > days[seed].allowed}
    assert not above, above


@params(3, 7)
def test_limit_holds_in_mixed_troubles(hosts: int):
    """Of hosts, their heartbeats, the store and the endpoints, one upon the other."""
    for seed in MIXED_SEEDS:
        assert_holds(LimitDay(mixed_plan(hosts, seed), seed).play())


def test_limit_holds_in_mixed_troubles_of_a_large_fleet():
    """The same troubles at 62 hosts; a day on which the limit did not hold."""
    plan = mixed_plan(LARGE_HOSTS, LARGE_MIXED_SEED)
    assert_holds(LimitDay(plan, LARGE_MIXED_SEED).play())
