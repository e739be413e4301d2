from __future__ import annotations

import functools

from tests.process.entry.claim_race import LARGE, ClaimRace, ClaimRacePlan

SEEDS = range(2)
SETTLED_SECONDS = 2.5
"""Time from the first request until each host has its first claims."""
FIRST_SECONDS = 1.0
MAX_REFUSED = 0.05
MAX_CALLS_PER_HOST_SECOND = 10.0
MAX_BYTES_PER_HOST_SECOND = 8 * 1024
MAX_MESSAGES_GROWTH = 1.5
"""Messages that a host sends among 370 hosts, as a multiple of those among 62."""
FLEET_SIZES = (7, 62, 370)
FLEET_SECONDS = 2.0
"""Duration of the plays of all sizes; the largest takes most of the tests' time."""
SMALL_PREPAID_TOKENS = 600_000
"""Prepaid tokens that the callers of the largest organisation use up in 2 s."""
RUN_OUT_SECONDS = 10.0
"""Duration of a play in which budgets run out.

A loan whose reply got lost is recovered when its lender is asked again, 2 s later.
"""
MIN_USED_UP = 0.9
"""Fraction of its tokens that an organisation has spent once they have run out."""
SLOW_STORE_SECONDS = 0.03
"""One way between the store and a host that takes 120 ms from its read to its write.

Incident 007 measured 120 to 200 ms.
"""
LOST_REPLIES = 0.05
VANISHING_HOSTS = 6
VANISHING_SECONDS = 8.0
"""Duration of a play in which hosts vanish, beyond the time at which that is known."""


@functools.cache
def _play_fleet(hosts: int) -> ClaimRace:
    return _play_plan(ClaimRacePlan(hosts=hosts, seconds=FLEET_SECONDS), 0)


def _play_plan(plan: ClaimRacePlan, seed: int) -> ClaimRace:
    race = ClaimRace(plan, seed)
    race.play()
    return race


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


def test_no_request_of_the_first_second_is_refused_while_tokens_are_free():
    """Owners hold some tokens before an organisation's first request."""
    for hosts in FLEET_SIZES[:2]:
        race = _play_fleet(hosts)
        early = [r for r in race.refusals() if r.fits and r.at < FIRST_SECONDS]
        assert not early, (hosts, len(early), early[0])


def test_claims_of_many_hosts_leave_the_store_alone():
    """Hosts that lose races for the claims' stream don't flood it with calls."""
    race = _play(0)
    calls = race.stream.appends + race.stream.reads
    per_host_second = calls / race.plan.hosts / race.plan.seconds
    assert per_host_second <= MAX_CALLS_PER_HOST_SECOND, per_host_second


def test_host_makes_as_many_calls_however_many_hosts_there_are():
    """Store calls and bytes between hosts stay within their bounds at all sizes."""
    for hosts in FLEET_SIZES:
        race = _play_fleet(hosts)
        calls = race.store_calls_per_host_second
        assert calls <= MAX_CALLS_PER_HOST_SECOND, (hosts, calls)
        sent = race.bytes_per_host_second
        assert sent <= MAX_BYTES_PER_HOST_SECOND, (hosts, sent)


def test_host_sends_as_many_messages_among_370_hosts_as_among_62():
    """The messages that a host sends don't grow with the number of hosts."""
    middle = _play_fleet(62).messages_per_host_second
    large = _play_fleet(370).messages_per_host_second
    assert large <= MAX_MESSAGES_GROWTH * middle, (middle, large)


def test_no_organisation_reserves_more_than_its_prepaid_tokens():
    """Budgets that run out hold at all hosts, whichever replies are lost."""
    for seed in SEEDS:
        for lost in (0.0, LOST_REPLIES):
            plan = ClaimRacePlan(
                prepaid=SMALL_PREPAID_TOKENS,
                lose_replies=lost,
                seconds=RUN_OUT_SECONDS,
            )
            race = _play_plan(plan, seed)
            assert not race.overspent(), (seed, lost, race.overspent())
            used = race.spent[LARGE] / plan.prepaid
            assert used >= MIN_USED_UP, (seed, lost, used)


def test_no_organisation_reserves_more_than_its_prepaid_tokens_as_hosts_vanish():
    """Tokens of hosts that vanish are not spent a second time."""
    for seed in SEEDS:
        plan = ClaimRacePlan(
            prepaid=SMALL_PREPAID_TOKENS,
            lose_replies=LOST_REPLIES,
            vanishing=VANISHING_HOSTS,
            vanish_after=1.0,
            seconds=VANISHING_SECONDS,
        )
        race = _play_plan(plan, seed)
        assert not race.overspent(), (seed, race.overspent())


def test_hosts_stay_served_when_a_tenth_of_the_hosts_vanishes():
    """Callers of the other hosts get their tokens, also those of the lost owner's."""
    for seed in SEEDS:
        for lost in (0.0, LOST_REPLIES):
            plan = ClaimRacePlan(
                lose_replies=lost,
                vanishing=VANISHING_HOSTS,
                seconds=VANISHING_SECONDS,
            )
            race = _play_plan(plan, seed)
            refused = race.refused_fraction(plan.vanish_after)
            assert refused <= MAX_REFUSED, (seed, lost, refused)
            busy = race.tallies[0].refused_fraction(plan.vanish_after)
            assert busy <= MAX_REFUSED, (seed, lost, busy)
            assert not race.overspent(), (seed, lost, race.overspent())


def test_hosts_with_little_processor_time_get_tokens_that_nobody_has_claimed():
    """Loans that an owner can't give in time count for what it claims next."""
    for seed in SEEDS:
        plan = ClaimRacePlan(
            store_seconds=SLOW_STORE_SECONDS, busy_store_seconds=SLOW_STORE_SECONDS
        )
        refused = _play_plan(plan, seed).refused_fraction(SETTLED_SECONDS)
        assert refused <= MAX_REFUSED, (seed, refused)
