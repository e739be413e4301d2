from __future__ import annotations

from tests.process.entry.claim_race import ClaimRace, ClaimRacePlan

SEEDS = range(2)
SETTLED_SECONDS = 2.5
"""Time from the first request until each host has its first claims."""
MAX_REFUSED = 0.05
MAX_CALLS_PER_HOST_SECOND = 10.0


def _play(seed: int) -> ClaimRace:
    race = ClaimRace(ClaimRacePlan(), seed)
    race.play()
    return race


def test_busy_host_gets_its_claims_written_among_many():
    """The host with most requests of an organisation isn't left without tokens."""
    for seed in SEEDS:
        busy = _play(seed).tallies[0]
        assert busy.refused_fraction(SETTLED_SECONDS) <= MAX_REFUSED, (
            seed,
            len(busy.reserved),
            len(busy.refused),
        )


def test_claims_of_many_hosts_leave_the_store_alone():
    """Hosts that lose races for the claims' stream don't flood it with calls."""
    race = _play(0)
    calls = race.stream.appends + race.stream.reads
    per_host_second = calls / race.plan.hosts / race.plan.seconds
    assert per_host_second <= MAX_CALLS_PER_HOST_SECOND, per_host_second
