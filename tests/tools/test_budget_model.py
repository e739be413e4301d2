from __future__ import annotations

import dataclasses

from nose2.tools import params

from tools.budget_model.booking_run import WITH_CLAIMS, WITHOUT_CLAIMS, run_booking
from tools.budget_model.booking_scenario import BOOKING_SCENARIOS
from tools.budget_model.budget_run import run_scenario
from tools.budget_model.scenario import Scenario
from tools.budget_model.scenarios import BUDGET_SCENARIOS
from tools.budget_model.strategy import STRATEGIES, UNSAFE_STRATEGY

TINY_TIME_FACTOR = 0.05
"""Factor on a scenario's times."""


def scaled_down(scenario: Scenario) -> Scenario:
    """Return a scenario with all times scaled by ``TINY_TIME_FACTOR``."""
    events = tuple(
        dataclasses.replace(event, at=event.at * TINY_TIME_FACTOR)
        for event in scenario.events
    )
    seconds = scenario.seconds * TINY_TIME_FACTOR
    return dataclasses.replace(scenario, seconds=seconds, events=events)


@params(*BUDGET_SCENARIOS)
def test_scenario_has_no_fault(scenario):
    """Each scenario ends without overspend, double bill or missing bill."""
    strategy = next(strategy for strategy in STRATEGIES if strategy.witnessed)
    row = run_scenario(scaled_down(scenario), strategy, seed=1)
    assert row.requests
    assert not row.faults()


def test_run_is_deterministic():
    """The same scenario, strategy and seed give the same figures."""
    scenario = scaled_down(BUDGET_SCENARIOS[-1])
    rows = [run_scenario(scenario, STRATEGIES[-2], seed=2) for _ in range(2)]
    assert rows[0] == rows[1]


def test_expiring_grants_are_overspent():
    """The unsafe strategy overspends, so the overspend figure can detect a fault."""
    scenario = Scenario("end", seconds=90.0, rate=4.0, deposit_ratio=0.4)
    row = run_scenario(scenario, UNSAFE_STRATEGY, seed=1)
    assert UNSAFE_STRATEGY.is_unsafe
    assert row.overspent_tokens > 0


@params(*BOOKING_SCENARIOS)
def test_claimed_request_runs_at_most_once(scenario):
    """No booking runs twice, and each answer belongs to its own request."""
    short = dataclasses.replace(scenario, seconds=6.0, events=())
    row = run_booking(short, WITH_CLAIMS, seed=1)
    assert row.requests
    assert (row.booked_twice, row.wrong_answers) == (0, 0)


def test_unclaimed_copies_run_twice():
    """Without claims bookings run twice, so that figure can detect a fault."""
    short = dataclasses.replace(BOOKING_SCENARIOS[0], seconds=6.0)
    assert run_booking(short, WITHOUT_CLAIMS, seed=1).booked_twice


def test_refusal_of_a_booking_as_not_run_is_true():
    """No caller is told ``not_run`` after any attempt ran its booking."""
    row = run_booking(BOOKING_SCENARIOS[1], WITH_CLAIMS, seed=1)
    assert row.false_not_run == 0


def test_refusal_as_not_run_is_true_while_the_log_is_down():
    """A copy that can't be claimed isn't told ``not_run`` if the booking ran."""
    row = run_booking(BOOKING_SCENARIOS[-1], WITH_CLAIMS, seed=1)
    assert row.false_not_run == 0
