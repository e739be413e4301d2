from __future__ import annotations

import dataclasses

from nose2.tools import params

from tools.budget_model.budget_run import run_scenario
from tools.budget_model.scenario import Scenario
from tools.budget_model.scenarios import BUDGET_SCENARIOS
from tools.budget_model.way import WAYS

TINY = 0.05
"""Part of a scenario's time."""


def tiny(scenario: Scenario) -> Scenario:
    """Return a scenario whose load and events take a twentieth of the time."""
    events = tuple(
        dataclasses.replace(event, at=event.at * TINY) for event in scenario.events
    )
    seconds = scenario.seconds * TINY
    return dataclasses.replace(scenario, seconds=seconds, events=events)


@params(*BUDGET_SCENARIOS)
def test_scenario_has_no_fault(scenario):
    """Each scenario runs to its end without overspend or a wrong bill."""
    way = next(way for way in WAYS if way.witnessed)
    row = run_scenario(tiny(scenario), way, seed=1)
    assert row.requests
    assert not row.faults()


def test_run_is_deterministic():
    """The same scenario, way and seed give the same figures."""
    scenario = tiny(BUDGET_SCENARIOS[-1])
    rows = [run_scenario(scenario, WAYS[-2], seed=2) for _ in range(2)]
    assert rows[0] == rows[1]


def test_tokens_freed_by_time_are_overspent():
    """The unsafe companion overspends, so the figure can fail."""
    scenario = Scenario("end", seconds=90.0, rate=4.0, deposit_share=0.4)
    row = run_scenario(scenario, WAYS[-1], seed=1)
    assert WAYS[-1].is_unsafe
    assert row.overspent_tokens > 0
