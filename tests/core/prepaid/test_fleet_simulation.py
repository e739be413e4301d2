from __future__ import annotations

from tests.core.prepaid.fixed_share_simulation import FixedShareSimulation
from tests.core.prepaid.fleet_simulation import (
    FleetSimulation,
    HostFreeze,
    HostKill,
    Outcome,
    PrepaidIncrease,
    Scenario,
    StoreOutage,
    TrafficBurst,
)

SEEDS = (1, 2, 3)

INCREASES = (
    PrepaidIncrease(16.0, 1.25, ("large", "middle-1", "small-1")),
    PrepaidIncrease(21.0, 1.25, ("middle-2", "pinned-middle")),
)
BURSTS = (TrafficBurst(16.0, 6.0, 2.3, "pinned-large"),)


def run_for_seeds(
    simulation: type[FleetSimulation], scenario: Scenario
) -> list[Outcome]:
    """Run a scenario once for each seed."""
    return [simulation(scenario, seed).run() for seed in SEEDS]


def served_share(outcomes: list[Outcome]) -> float:
    """Return the value of the served requests relative to the owed ones."""
    return sum(o.served for o in outcomes) / sum(o.owed for o in outcomes)


def refused(outcomes: list[Outcome]) -> int:
    """Return the number of owed requests that got no answer."""
    return sum(outcome.refused for outcome in outcomes)


def assert_better_than_fixed_shares(scenario: Scenario) -> list[Outcome]:
    """Check that more is served than with fixed shares, and nothing overspent."""
    ours, fixed = (
        run_for_seeds(FleetSimulation, scenario),
        run_for_seeds(FixedShareSimulation, scenario),
    )
    assert not any(outcome.overspent for outcome in ours)
    assert served_share(ours) > served_share(fixed)
    assert refused(ours) < refused(fixed)
    return ours


def test_run_without_faults_refuses_no_owed_request():
    """Callers of one organisation are served even if all of them use one host."""
    assert refused(assert_better_than_fixed_shares(Scenario())) == 0


def test_store_outage_serves_more_than_with_fixed_shares():
    """Reserves serve requests while no host reaches the store for ten seconds."""
    assert_better_than_fixed_shares(Scenario(outages=(StoreOutage(15.0, 10.0),)))


def test_outage_early_in_a_budget_refuses_no_owed_request():
    """A reserve for nine seconds of demand covers a store outage of four."""
    ours = run_for_seeds(FleetSimulation, Scenario(outages=(StoreOutage(6.0, 4.0),)))
    assert refused(ours) == 0


def test_killed_host_strands_fewer_tokens_than_with_fixed_shares():
    """The witness releases the locked tokens of the killed host."""
    scenario = Scenario(kills=(HostKill(12.0, 2.0, (2,)),))
    ours = assert_better_than_fixed_shares(scenario)
    fixed = run_for_seeds(FixedShareSimulation, scenario)
    assert max(o.stranded for o in ours) < min(o.stranded for o in fixed)


def test_kill_of_all_hosts_serves_more_than_with_fixed_shares():
    """The claims tell what was spent, so that restarted hosts can go on."""
    assert_better_than_fixed_shares(Scenario(kills=(HostKill(17.0, 1.0),)))


def test_frozen_host_serves_more_than_with_fixed_shares():
    """More is served although a frozen host's claim neither expires nor can be lent."""
    assert_better_than_fixed_shares(Scenario(freezes=(HostFreeze(12.0, 6.0, 2),)))


def test_series_of_faults_serves_more_than_with_fixed_shares():
    """More is served despite outages, kills and a burst.

    Two store outages, two killed hosts, a kill of all hosts, and prepaid increases.
    """
    scenario = Scenario(
        seconds=50.0,
        outages=(StoreOutage(5.5, 7.9), StoreOutage(24.0, 8.6)),
        kills=(
            HostKill(14.2, 1.0, (2,)),
            HostKill(14.5, 3.0, (5,)),
            HostKill(34.0, 1.0),
        ),
        increases=INCREASES,
        bursts=BURSTS,
    )
    assert_better_than_fixed_shares(scenario)
