from __future__ import annotations

from knapweeddrum.core.catalog.endpoint_entry import UNKNOWN_VERSION, EndpointEntry
from knapweeddrum.core.placing.endpoint_state import EndpointState
from knapweeddrum.core.streams.endpoint_history import (
    DRAIN_MARGIN_SECONDS,
    MAX_LIST_AGE_SECONDS,
    STREAM_MEMORY_SECONDS,
    EndpointHistory,
)
from knapweeddrum.core.streams.version_record import SoleVersion, VersionRecord

NOTICE = 2.0
READ_INTERVAL = 0.5


def endpoint(name: str, version: str, *, draining: bool = False) -> EndpointEntry:
    return EndpointEntry(
        name, "engine", "10.0.0.1:1", "a", 8, draining, software_version=version
    )


def observe(history: EndpointHistory, start: float, end: float, *versions: str) -> None:
    """Read a list with an endpoint of each version at each interval."""
    entries = [endpoint(f"e{n}", version) for n, version in enumerate(versions)]
    now = start
    while now <= end:
        history.observe(entries, now, now, 0)
        now += READ_INTERVAL


def test_only_a_version_that_has_long_been_alone_is_known_to_have_begun_a_stream():
    """Neither a short time nor a second version, which has gone again, allows it."""
    history = EndpointHistory()
    observe(history, 0.0, STREAM_MEMORY_SECONDS - 1, "v1", "v1")
    assert history.sole_version("engine", STREAM_MEMORY_SECONDS - 1) is None
    end = 2 * STREAM_MEMORY_SECONDS
    observe(history, STREAM_MEMORY_SECONDS, end, "v1")
    assert history.sole_version("engine", end) == "v1"
    assert history.sole_version("other", end) is None
    observe(history, end, end + 1, "v1", "v2")
    assert history.sole_version("engine", end + 1) is None
    observe(history, end + 1.5, end + STREAM_MEMORY_SECONDS, "v2")
    assert history.sole_version("engine", end + STREAM_MEMORY_SECONDS) is None


def test_list_that_is_not_up_to_date_proves_nothing():
    """A host that can't read the list may miss a second version."""
    history = EndpointHistory()
    observe(history, 0.0, STREAM_MEMORY_SECONDS, "v1")
    late = STREAM_MEMORY_SECONDS + MAX_LIST_AGE_SECONDS
    assert history.sole_version("engine", late - 0.1) == "v1"
    assert history.sole_version("engine", late + 0.1) is None


def test_unknown_versions_are_never_alone():
    """Two endpoints without a version may differ."""
    history = EndpointHistory()
    observe(history, 0.0, 2 * STREAM_MEMORY_SECONDS, UNKNOWN_VERSION)
    assert history.sole_version("engine", 2 * STREAM_MEMORY_SECONDS) is None


def test_endpoint_that_drains_takes_streams_for_its_notice():
    """The notice counts from the read before the one that showed it."""
    history = EndpointHistory()
    history.observe([endpoint("e0", "v1")], 10.0, 10.0, 0)
    leaving = endpoint("e0", "v1", draining=True)
    history.observe([leaving], 10.5, 10.5, 0)
    history.observe([leaving], 11.0, 11.0, 0)
    end = 10.0 + NOTICE - DRAIN_MARGIN_SECONDS
    assert history.takes_streams(EndpointState(leaving), NOTICE, end - 0.01)
    assert not history.takes_streams(EndpointState(leaving), NOTICE, end)
    assert history.takes_streams(EndpointState(endpoint("e1", "v1")), NOTICE, 99.0)


def test_endpoint_that_drained_before_the_first_read_takes_no_stream():
    """Nobody knows for how long it has been leaving."""
    history = EndpointHistory()
    leaving = endpoint("e0", "v1", draining=True)
    history.observe([leaving], 10.0, 10.0, 0)
    assert not history.takes_streams(EndpointState(leaving), NOTICE, 10.0)


def test_later_host_is_told_for_how_long_a_version_has_been_alone():
    """No longer than a stream may be taken up."""
    history = EndpointHistory()
    history.observe([endpoint("e0", "v1")], 10.0, 10.0, 7)
    history.observe([endpoint("e0", "v1")], 13.0, 13.1, 9)
    assert history.version_record() == VersionRecord(
        9, (SoleVersion("engine", "v1", 3.0),)
    )
    history.observe([endpoint("e0", "v1")], 60.0, 60.0, 9)
    (sole,) = history.version_record().sole
    assert sole.seconds == STREAM_MEMORY_SECONDS
    history.observe([endpoint("e0", "v1"), endpoint("e1", "v2")], 61.0, 61.0, 10)
    assert history.version_record().sole == ()


def recalled(*versions: str, seconds: float = STREAM_MEMORY_SECONDS) -> str | None:
    """Return the certain version after a recall of v1, by the versions listed since."""
    history = EndpointHistory()
    for number, version in enumerate(versions):
        history.observe([endpoint("e0", version)], number, number, 0)
    now = float(len(versions))
    history.recall(SoleVersion("engine", "v1", seconds), now)
    return history.sole_version("engine", now)


def test_version_that_was_alone_before_the_start_is_certain_at_once():
    """Its time alone before the start counts."""
    assert recalled("v1") == "v1"
    assert recalled("v1", seconds=STREAM_MEMORY_SECONDS - 2) is None


def test_version_that_was_listed_since_the_start_is_not_forgotten_by_a_recall():
    """A recall that comes late finds another version listed, or gone again."""
    assert recalled("v2") is None
    assert recalled("v2", "v1") is None
    assert recalled("v1", "v2", "v1") is None


def test_version_is_certain_only_by_a_list_that_was_asked_for_after_the_stream_began():
    """Another host may have read a newer list, with a second version, before."""
    history = EndpointHistory()
    observe(history, 0.0, STREAM_MEMORY_SECONDS, "v1")
    begun_before = STREAM_MEMORY_SECONDS + 0.4
    assert history.sole_version("engine", begun_before) == "v1"
    assert history.origin_version("engine", begun_before) is None
    begun_later = EndpointHistory()
    observe(begun_later, 0.0, STREAM_MEMORY_SECONDS, "v1")
    later = STREAM_MEMORY_SECONDS + READ_INTERVAL
    observe(history, later, later, "v1", "v2")
    assert history.origin_version("engine", begun_before) is None
    observe(begun_later, later, later, "v1")
    assert begun_later.origin_version("engine", begun_before) == "v1"


def test_answer_that_was_on_its_way_counts_from_when_it_was_asked_for():
    """The store may have answered before the stream began."""
    history = EndpointHistory()
    observe(history, 0.0, STREAM_MEMORY_SECONDS, "v1")
    asked_at = STREAM_MEMORY_SECONDS + 0.1
    history.observe([endpoint("e0", "v1")], asked_at, asked_at + 0.3, 0)
    assert history.origin_version("engine", asked_at) == "v1"
    assert history.origin_version("engine", asked_at + 0.1) is None


def test_sole_version_of_another_host_needs_the_own_list_since():
    """Its list may be as old as one that is up to date may be."""
    history = EndpointHistory()
    observe(history, 10.0, 13.0, "v1")
    told = 10.0 + MAX_LIST_AGE_SECONDS
    assert history.confirms("engine", "v1", told, told)
    assert not history.confirms("engine", "v1", told - 0.1, told)
    assert not history.confirms("engine", "v1", told, 13.1)
    assert not history.confirms("engine", "v2", told, told)
    assert not history.confirms("other", "v1", told, told)
    observe(history, 13.5, 13.5, "v1", "v2")
    assert not history.confirms("engine", "v1", 13.4, 13.4)
