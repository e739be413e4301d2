from __future__ import annotations

import dataclasses
import os

from tests.process.entry.return_day import ReturnPlan, play_days

SEEDS = range(int(os.environ.get("KNAPWEED_RETURN_SEEDS", "6")))
CALM = ReturnPlan(returns=1, kills=0, stops=0, cuts=0)
OWNER_KILLED = ReturnPlan(
    returns=1, kills=0, stops=0, cuts=1, kill_most=1, prepaid=450_000
)
AMOUNTS_CHANGED = ReturnPlan(raises=2, lowerings=2)
TWO_KILLED = dataclasses.replace(OWNER_KILLED, kill_most=2)
MAX_CLOSED_SECONDS = 5.0
MAX_UNSPENT = 0.1


def test_returns_beside_other_faults_let_nobody_overspend():
    """Whatever dies, is cut off or gets lost, no more is spent than was paid."""
    report = play_days(ReturnPlan(), SEEDS)
    print(report)
    assert not report.overspent, report


def test_returns_beside_raised_and_lowered_amounts_let_nobody_overspend():
    """No more is spent than the largest amount that was in force."""
    report = play_days(AMOUNTS_CHANGED, SEEDS)
    assert not report.overspent, report


def test_owner_killed_as_the_store_returns_lets_nobody_overspend():
    """What it spent beyond the copy is known to its witness."""
    report = play_days(OWNER_KILLED, SEEDS)
    assert not report.overspent, report
    assert report.days_closed_at_end == 0, report


def test_two_hosts_killed_as_the_store_returns_let_nobody_overspend():
    """One may have been the only witness of the other: nothing more is claimed."""
    report = play_days(TWO_KILLED, SEEDS)
    assert not report.overspent, report


def test_living_hosts_claim_again_soon_after_a_return():
    """Within five seconds, and nearly all that was paid can be spent."""
    report = play_days(CALM, SEEDS)
    assert not report.overspent, report
    assert report.most_closed_seconds <= MAX_CLOSED_SECONDS, report
    assert report.most_unspent <= MAX_UNSPENT, report
    assert report.days_closed_at_end == 0, report
