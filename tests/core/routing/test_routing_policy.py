from __future__ import annotations

import random
from collections import Counter

from nose2.tools import params

from knapweeddrum.core.routing.least_reported_load import LeastReportedLoad
from knapweeddrum.core.routing.prefix_index import (
    MAX_HOLDERS,
    MAX_PREFIXES,
    PrefixIndex,
)
from knapweeddrum.core.routing.random_choice import RandomChoice
from knapweeddrum.core.routing.request_features import RequestFeatures
from knapweeddrum.core.routing.round_robin import RoundRobin
from knapweeddrum.core.routing.sampled_load import AFFINITY_LOAD_FACTOR, SampledLoad
from knapweeddrum.core.routing.slots_limit import slots_limit
from tests.core.routing.fixtures import ENDPOINT_NAMES, new_table, report

POLICIES = (
    RandomChoice(random.Random(1)),
    RoundRobin(),
    LeastReportedLoad(),
    SampledLoad(random.Random(1)),
)


@params(*POLICIES)
def test_choice_respects_exclusion_and_slots(policy):
    """Tried and full endpoints are never chosen; None when no other is left."""
    table = new_table(slots=1)
    table.begin(ENDPOINT_NAMES[0], 0.0)
    candidates = table.candidates(ENDPOINT_NAMES, 0.0)
    exclude = {ENDPOINT_NAMES[1], ENDPOINT_NAMES[2]}
    assert (
        policy.choose(candidates, RequestFeatures(), 0.0, exclude) == ENDPOINT_NAMES[3]
    )
    assert policy.choose(candidates, RequestFeatures(), 0.0, ENDPOINT_NAMES) is None


def _fraction_of_first(policy, table, now, count=200, prefixes=()):
    chosen = Counter(
        policy.choose(
            table.candidates(ENDPOINT_NAMES, now),
            RequestFeatures(prefixes=prefixes),
            now,
        )
        for _ in range(count)
    )
    return chosen[ENDPOINT_NAMES[0]] / count


def test_sampled_load_avoids_the_loaded_endpoint():
    """The endpoint with the highest load is never chosen."""
    table = new_table()
    report(table, ENDPOINT_NAMES[0], 3, at=1.0)
    for name in ENDPOINT_NAMES[1:]:
        report(table, name, 0, at=1.0)
    assert _fraction_of_first(SampledLoad(random.Random(2)), table, 1.1) == 0.0


def test_stale_low_report_does_not_draw_all_requests():
    """With an outdated report an endpoint counts as loaded like the others."""
    table = new_table()
    report(table, ENDPOINT_NAMES[0], 0, at=0.0)
    for name in ENDPOINT_NAMES[1:]:
        report(table, name, 1, at=100.0)
    for _ in range(2):
        table.begin(ENDPOINT_NAMES[0], 50.0)
    assert _fraction_of_first(SampledLoad(random.Random(2)), table, 100.0) == 0.0


def test_local_requests_count_between_reports():
    """Requests sent since the last report spread without waiting for the next."""
    table = new_table()
    for name in ENDPOINT_NAMES:
        report(table, name, 0, at=0.0)
    policy = SampledLoad(random.Random(3))
    for _ in range(8):
        name = policy.choose(
            table.candidates(ENDPOINT_NAMES, 0.1), RequestFeatures(), 0.1
        )
        table.begin(name, 0.1)
    assert max(table.view(name).in_flight for name in ENDPOINT_NAMES) <= 3


def test_affinity_is_bounded_by_load():
    """A prefix that all requests have in common doesn't overload its holder."""
    table = new_table(slots=16)
    index = PrefixIndex()
    index.stored(ENDPOINT_NAMES[0], "dossier", 1, 0.0)
    policy = SampledLoad(random.Random(4), index)
    assert _fraction_of_first(policy, table, 0.1, prefixes=("dossier",)) > 0.9
    features = RequestFeatures(prefixes=("dossier",))
    for _ in range(32):
        table.begin(
            policy.choose(table.candidates(ENDPOINT_NAMES, 0.1), features, 0.1), 0.1
        )
    mean = 32 / len(ENDPOINT_NAMES)
    assert table.view(ENDPOINT_NAMES[0]).in_flight <= AFFINITY_LOAD_FACTOR * mean + 2


def test_prefix_index_prefers_longest_and_follows_evictions():
    """The longest known prefix counts; once it is evicted, a shorter one does."""
    index = PrefixIndex()
    index.stored(ENDPOINT_NAMES[0], "ab", 1, 0.0)
    index.stored(ENDPOINT_NAMES[1], "a", 1, 0.0)
    match = index.match(("abc", "ab", "a"), 1.0)
    assert (match.endpoints, round(match.coverage, 2)) == ({ENDPOINT_NAMES[0]}, 0.67)
    index.evicted(ENDPOINT_NAMES[0], "ab", 2, 2.0)
    index.stored(ENDPOINT_NAMES[0], "ab", 1, 3.0)
    assert index.match(("abc", "ab", "a"), 3.0).endpoints == {ENDPOINT_NAMES[1]}


def test_lost_events_make_older_hints_expire_sooner():
    """After a lost event older hints expire sooner: the event may be an eviction."""
    index = PrefixIndex()
    index.stored(ENDPOINT_NAMES[0], "a", 1, 0.0)
    index.stored(ENDPOINT_NAMES[1], "a", 1, 0.0)
    index.stored(ENDPOINT_NAMES[0], "z", 9, 10.0)
    assert index.match(("a",), 60.0).endpoints == {ENDPOINT_NAMES[1]}


def test_prefix_index_is_bounded():
    """Prefixes and holders stay within their limits; forget drops an endpoint."""
    index = PrefixIndex()
    for number in range(MAX_PREFIXES + 10):
        index.routed(ENDPOINT_NAMES[0], (f"p{number}",), 0.0)
    assert len(index) == MAX_PREFIXES
    for number in range(MAX_HOLDERS + 2):
        index.routed(f"desk-{number}", ("shared",), 0.0)
    assert len(index.match(("shared",), 0.0).endpoints) == MAX_HOLDERS
    index.forget(ENDPOINT_NAMES[0])
    assert len(index) == 1


def test_slots_limit_is_an_equal_share_that_grows_with_free_slots():
    """A busy router may use free slots; if none is free, the limit is its share."""
    table = new_table(slots=4)
    views = table.candidates(ENDPOINT_NAMES, 0.0)
    assert slots_limit(views, 4) == 4
    for name in ENDPOINT_NAMES:
        table.begin(name, 0.0)
    assert slots_limit(views, 4) == 7
    for name in ENDPOINT_NAMES:
        report(table, name, 12, at=1.0)
    assert slots_limit(views, 4) == 4
