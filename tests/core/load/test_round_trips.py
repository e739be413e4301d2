"""Late round trips as a sign of a long queue before the host."""

from __future__ import annotations

from knapweeddrum.core.load.link_load import LinkLoad
from knapweeddrum.core.load.round_trips import (
    QUICK_SECONDS,
    WINDOW_SECONDS,
    RoundTrips,
)
from knapweeddrum.value.link_source import LinkSource

LATE_SECONDS = 2 * QUICK_SECONDS
NOW = 100.0


def test_store_that_is_away_is_not_taken_for_a_full_link():
    """Hosts would turn all callers away in an outage of the store."""
    trips = RoundTrips()
    trips.record(LinkSource.STORE, LATE_SECONDS, NOW, is_answered=False)
    trips.record(LinkSource.HOSTS, LATE_SECONDS, NOW, is_answered=False)
    assert not trips.are_late(NOW)


def test_endpoints_that_crash_are_not_taken_for_a_full_link():
    """The store answers, so the link has room."""
    trips = RoundTrips()
    trips.record(LinkSource.ENDPOINTS, LATE_SECONDS, NOW, is_answered=False)
    assert not trips.are_late(NOW)
    trips.record(LinkSource.HOSTS, LATE_SECONDS, NOW, is_answered=False)
    trips.record(LinkSource.STORE, 0.01, NOW, is_answered=True)
    assert not trips.are_late(NOW)


def test_link_is_full_while_nobody_answers_quickly():
    """That ends with the first quick answer, or when nothing was asked for long."""
    trips = RoundTrips()
    trips.record(LinkSource.ENDPOINTS, LATE_SECONDS, NOW, is_answered=True)
    trips.record(LinkSource.STORE, LATE_SECONDS, NOW, is_answered=False)
    assert trips.are_late(NOW + WINDOW_SECONDS)
    assert not trips.are_late(NOW + 1.1 * WINDOW_SECONDS)
    trips.record(LinkSource.HOSTS, 0.1, NOW + 0.1, is_answered=True)
    assert not trips.are_late(NOW + 0.1)


def test_slow_store_beside_endpoints_that_crash_is_not_taken_for_a_full_link():
    """Requests are answered quickly; long prompts tell nothing either way."""
    trips = RoundTrips()
    trips.record(LinkSource.ENDPOINTS, LATE_SECONDS, NOW, is_answered=False)
    trips.record(LinkSource.STORE, LATE_SECONDS, NOW, is_answered=True)
    trips.record_work(LATE_SECONDS, NOW)
    assert trips.are_late(NOW)
    trips.record_work(0.1, NOW)
    assert not trips.are_late(NOW)


def test_listener_is_closed_though_no_bytes_are_received():
    """Bytes of callers who gave up fill the link and never reach the process."""
    load = LinkLoad(5.0)
    load.update(NOW)
    due = []
    load.on_due = lambda: due.append(True)
    for source in (LinkSource.ENDPOINTS, LinkSource.STORE):
        load.record_trip(source, LATE_SECONDS, NOW, is_answered=False)
    assert due
    load.update(NOW)
    assert load.is_closed
