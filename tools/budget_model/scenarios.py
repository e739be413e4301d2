"""The budget scenarios."""

from __future__ import annotations

from tools.budget_model.fleet import Fleet
from tools.budget_model.host import HOSTS
from tools.budget_model.scenario import Event, Scenario

MINUTE_SECONDS = 60.0
HOUR_SECONDS = 3600.0
AMPLE_DEPOSIT_RATIO = 2.0
SCARCE_DEPOSIT_RATIO = 0.7
TOP_UP_TOKENS = 100_000
REPLACEMENT_INTERVAL_SECONDS = 40.0
"""Interval between the replacements of two hosts."""

PARTITIONED_HOST = HOSTS[0]
"""The busiest host; cut scenarios partition its data centre."""

OTHER_HOST = HOSTS[1]


def _outage(start: float, seconds: float) -> tuple[Event, ...]:
    return (
        Event(start, lambda fleet: fleet.set_log_down(True)),
        Event(start + seconds, lambda fleet: fleet.set_log_down(False)),
    )


def _partition(start: float, seconds: float) -> tuple[Event, ...]:
    data_centre = PARTITIONED_HOST.data_centre
    return (
        Event(start, lambda fleet: fleet.set_partitioned(data_centre, True)),
        Event(start + seconds, lambda fleet: fleet.set_partitioned(data_centre, False)),
    )


def _keeper_kill(at: float, back_after: float) -> tuple[Event, ...]:
    return (
        Event(at, lambda fleet: fleet.kill_keeper(PARTITIONED_HOST)),
        Event(at + back_after, lambda fleet: fleet.start_keeper(PARTITIONED_HOST)),
    )


def _router_kill(at: float, back_after: float) -> tuple[Event, ...]:
    return (
        Event(at, lambda fleet: fleet.kill_router(PARTITIONED_HOST)),
        Event(at + back_after, lambda fleet: fleet.start_router(PARTITIONED_HOST)),
    )


def _rolling(start: float) -> tuple[Event, ...]:
    def replace(host_index: int) -> Event:
        at = start + host_index * REPLACEMENT_INTERVAL_SECONDS
        return Event(at, lambda fleet: fleet.start_replacement(HOSTS[host_index]))

    return tuple(replace(host.index) for host in HOSTS)


def _top_up(at: float, is_partitioned_side: bool) -> Event:
    host = PARTITIONED_HOST if is_partitioned_side else OTHER_HOST

    def apply(fleet: Fleet) -> None:
        fleet.top_up("second", TOP_UP_TOKENS, host)

    return Event(at, apply)


BUDGET_SCENARIOS = (
    Scenario("steady", 300.0, 4.0, AMPLE_DEPOSIT_RATIO),
    Scenario(
        "outage_minute", 300.0, 4.0, AMPLE_DEPOSIT_RATIO, _outage(120.0, MINUTE_SECONDS)
    ),
    Scenario(
        "outage_hour",
        HOUR_SECONDS + 300.0,
        0.5,
        AMPLE_DEPOSIT_RATIO,
        _outage(200.0, HOUR_SECONDS),
    ),
    Scenario(
        "cut_minute", 300.0, 4.0, AMPLE_DEPOSIT_RATIO, _partition(120.0, MINUTE_SECONDS)
    ),
    Scenario(
        "cut_hour",
        HOUR_SECONDS + 300.0,
        0.5,
        AMPLE_DEPOSIT_RATIO,
        _partition(200.0, HOUR_SECONDS),
    ),
    Scenario(
        "router_killed", 300.0, 4.0, AMPLE_DEPOSIT_RATIO, _router_kill(120.0, 30.0)
    ),
    Scenario(
        "keeper_killed", 300.0, 4.0, AMPLE_DEPOSIT_RATIO, _keeper_kill(120.0, 30.0)
    ),
    Scenario("rolling_replacement", 400.0, 4.0, AMPLE_DEPOSIT_RATIO, _rolling(60.0)),
    Scenario(
        "top_up_cut_side",
        300.0,
        4.0,
        SCARCE_DEPOSIT_RATIO,
        (*_partition(120.0, 2 * MINUTE_SECONDS), _top_up(150.0, True)),
    ),
    Scenario(
        "top_up_other_side",
        300.0,
        4.0,
        SCARCE_DEPOSIT_RATIO,
        (*_partition(120.0, 2 * MINUTE_SECONDS), _top_up(150.0, False)),
    ),
    Scenario("budget_end", 300.0, 4.0, SCARCE_DEPOSIT_RATIO),
    Scenario(
        "outage_and_keeper_killed",
        300.0,
        4.0,
        SCARCE_DEPOSIT_RATIO,
        (*_outage(90.0, MINUTE_SECONDS), *_keeper_kill(120.0, 60.0)),
    ),
)
