from __future__ import annotations

import statistics
from collections.abc import Callable

from nose2.tools import params

from knapweeddrum.core.load.link_load import (
    MAX_CLOSED_SECONDS,
    MIN_OPEN_SECONDS,
    QUIET_SECONDS,
    LinkLoad,
)
from tests.core.load.simulated_link import LOOK_SECONDS, SimulatedLink

WEAK_MBPS = 5.0
SECONDS = 12.0
SEEDS = (1, 2, 3)
OVERLOAD = 120.0
CALM = 40.0


def burst(now: float) -> float:
    return 2.1 * 60.0 if 2.0 <= now < 8.0 else 60.0


def play(
    per_second: Callable[[float], float], seed: int, *, mbps: float, sheds: bool = True
) -> SimulatedLink:
    link = SimulatedLink(LinkLoad(mbps) if sheds else None, mbps, seed)
    link.play(per_second, SECONDS)
    return link


def fill(load: LinkLoad, fraction: float, start: float, seconds: float) -> list[float]:
    """Receive at a fraction of the link; return the times of looks while closed."""
    closed = []
    for number in range(round(seconds / LOOK_SECONDS)):
        now = start + number * LOOK_SECONDS
        load.receive(round(WEAK_MBPS * 125_000 / 1.08 * fraction * LOOK_SECONDS))
        load.update(now)
        if load.is_closed:
            closed.append(now)
    return closed


@params((CALM, WEAK_MBPS), (OVERLOAD, 1000.0), (10 * OVERLOAD, 1000.0))
def test_nothing_is_turned_away_while_there_is_room(per_second, mbps):
    """Callers of a host that carries its load notice nothing."""
    for seed in SEEDS:
        link = play(lambda _: per_second, seed, mbps=mbps)
        assert link.turned_away == 0
        assert link.count("in target") == len(link.calls)


@params((lambda _: OVERLOAD, 4.0), (burst, 2.0), (lambda _: 200.0, 4.0))
def test_more_callers_are_served_in_time_than_without_shedding(per_second, factor):
    """Each kind and organisation gets more; without it nearly all wait too long."""
    for seed in SEEDS:
        shed = play(per_second, seed, mbps=WEAK_MBPS)
        held = play(per_second, seed, mbps=WEAK_MBPS, sheds=False)
        assert shed.count("in target") > factor * held.count("in target")
        assert shed.count("none") < held.count("none")
        for part in ("a", "b", "long", "medium", "chat", "short"):
            mine, theirs = (
                sum(c.outcome == "in target" for c in link.calls if part in parts(c))
                for link in (shed, held)
            )
            assert mine > theirs


def parts(call) -> tuple[str, str]:
    return call.organisation, call.kind


@params(200.0, 300.0, 400.0)
def test_more_overload_does_not_make_fewer_callers_served(per_second):
    """By received bytes alone 8 a second were served in time of 400, and 60 of 120."""
    for seed in SEEDS:
        usual = play(lambda _: OVERLOAD, seed, mbps=WEAK_MBPS)
        more = play(lambda _: per_second, seed, mbps=WEAK_MBPS)
        assert more.count("in target") > 0.6 * usual.count("in target")


@params(120, 200)
def test_store_answers_in_time_though_callers_press_on_open_connections(callers):
    """By received bytes alone a third of the answers took over half a second."""
    for seed in SEEDS:
        link = SimulatedLink(LinkLoad(WEAK_MBPS), WEAK_MBPS, seed)
        link.play_loyal(callers, SECONDS)
        assert max(link.store_seconds) < 0.5
        assert link.count("in target") / SECONDS > 20


def test_connections_that_are_accepted_close_the_listener_before_their_bytes_come():
    """A burst is in the link's queue by the time that its bytes are received."""
    load = LinkLoad(WEAK_MBPS)
    now = 100.0
    for _ in range(200):
        now += 0.01
        load.accept()
        load.receive(5_000)
        load.update(now)
    assert not load.is_closed
    due = []
    load.on_due = lambda: due.append(True)
    for _ in range(12):
        load.accept()
    assert due
    load.update(now + 0.001)
    assert load.is_closed
    load.update(now + 0.1)
    assert not load.is_closed


@params((lambda _: OVERLOAD,), (burst,), (lambda _: 400.0,))
def test_listener_is_closed_for_moments_and_the_link_stays_used(per_second):
    """A ready host must not stay closed, and what it turns away must be too much."""
    for seed in SEEDS:
        link = play(per_second, seed, mbps=WEAK_MBPS)
        assert link.closed_for
        assert max(link.closed_for) <= MAX_CLOSED_SECONDS + 2 * LOOK_SECONDS
        assert link.carried / (WEAK_MBPS * 125_000 * SECONDS) > 0.6


def test_wait_of_callers_who_are_served_stays_short():
    """Half of the answers come within 0.35 s, where endpoints take 0.15 s."""
    link = play(lambda _: OVERLOAD, 1, mbps=WEAK_MBPS)
    waits = [c.answered_at - c.sent_at for c in link.calls if c.outcome != "none"]
    assert statistics.median(waits) < 0.35


def test_listener_opens_in_time_while_the_link_stays_full():
    """What comes in on open connections is not held back by the listener."""
    load = LinkLoad(WEAK_MBPS)
    closed = fill(load, 1.3, 100.0, 10.0)
    gaps = [b - a for a, b in zip(closed, closed[1:], strict=False)]
    opened = [gap for gap in gaps if gap > 1.5 * LOOK_SECONDS]
    assert len(opened) > 30
    assert min(opened) > MIN_OPEN_SECONDS
    assert max(opened) < 0.1


def test_what_was_received_in_a_pause_of_the_process_counts_for_the_pause():
    """A process that was paused reads at once what came in meanwhile."""
    load = LinkLoad(WEAK_MBPS)
    fill(load, 0.5, 100.0, 1.0)
    load.receive(round(WEAK_MBPS * 125_000 / 1.08 * 0.5 * 3.0))
    load.update(104.0)
    assert not load.is_closed


def test_time_of_shedding_lasts_until_the_listener_was_open_for_long():
    """Its begin and end are told to other hosts and logged, not each closing."""
    load = LinkLoad(WEAK_MBPS)
    fill(load, 1.0, 100.0, 3.0)
    began_at = load.shedding_since
    assert began_at is not None
    assert 100.5 < began_at < 100.8
    assert load.report(began_at, 103.0).closings == load.closings > 5
    fill(load, 0.3, 103.0, QUIET_SECONDS - 0.1)
    assert load.shedding_since == began_at
    fill(load, 0.3, 103.0 + QUIET_SECONDS - 0.1, 0.5)
    assert load.shedding_since is None
    assert 0.25 < load.use(105.4) < 0.4


def test_looks_are_due_only_when_the_level_may_be_above_the_bound():
    """An idle host isn't woken for each receive."""
    load = LinkLoad(WEAK_MBPS)
    due = []
    load.on_due = lambda: due.append(True)
    for number in range(20):
        load.receive(1_000)
        load.update(100.0 + number)
    assert not due
    load.receive(40_000)
    assert due


def test_time_at_which_the_link_was_full_is_known():
    """What failed meanwhile may be due to this host and not to the other one."""
    load = LinkLoad(WEAK_MBPS)
    assert not load.was_full_since(0.0)
    fill(load, 1.0, 100.0, 2.0)
    assert load.was_full_since(101.0)
    fill(load, 0.2, 102.0, 1.0)
    assert load.was_full_since(101.0)
    assert not load.was_full_since(102.5)


def test_link_of_another_rate_counts_from_when_the_settings_name_it():
    """Settings are read again while the process runs."""
    load = LinkLoad(WEAK_MBPS)
    load.set_link(1000.0)
    assert not fill(load, 5.0, 100.0, 2.0)
