from __future__ import annotations

from knapweeddrum.core.catalog.endpoint_entry import EndpointEntry
from knapweeddrum.core.placing.endpoint_states import instance_name
from knapweeddrum.core.streams.instance_history import InstanceHistory


def endpoint(name: str, started_at_ms: int = 1) -> EndpointEntry:
    return EndpointEntry(
        name, "engine", "10.0.0.1:1", "a", 8, started_at_ms=started_at_ms
    )


E0 = instance_name(endpoint("e0"))
E1 = instance_name(endpoint("e1"))
NEVER = float("-inf")


def test_entry_was_written_after_the_read_before_the_one_that_showed_it():
    """An earlier time is unknown, a later one not proved."""
    history = InstanceHistory()
    entries = [endpoint("e0"), endpoint("e1")]
    history.observe(entries, ("e0", "e1"), 10.0)
    assert history.running_at(E0) == NEVER
    history.observe(entries, ("e0",), 10.5)
    history.observe(entries, (), 11.0)
    assert history.running_at(E0) == 10.0
    assert history.running_at(E1) == NEVER
    history.observe(entries[1:], (), 11.5)
    assert history.running_at(E0) == NEVER


def test_what_is_known_of_a_start_does_not_hold_for_the_next_one():
    """Neither that it runs, nor that it has ended, nor that it hides its start."""
    history = InstanceHistory()
    history.observe([endpoint("e0")], (), 10.0)
    history.record_running(E0, 12.0)
    history.record_ended(E0)
    history.record_hidden_start(E0)
    successor = instance_name(endpoint("e0", started_at_ms=2))
    history.observe([endpoint("e0", started_at_ms=2)], (), 12.5)
    for instance in (E0, successor):
        assert history.running_at(instance) == NEVER
        assert not history.has_ended(instance)
        assert not history.hides_start(instance)


def test_endpoints_that_are_not_listed_are_not_remembered():
    """Otherwise memory would grow with each start of an endpoint."""
    history = InstanceHistory()
    history.record_running(E0, 12.0)
    history.record_ended(E0)
    history.record_hidden_start(E0)
    history.observe([endpoint("e1")], (), 12.5)
    assert history.running_at(E0) == NEVER
    assert not history.has_ended(E0)
    assert not history.hides_start(E0)


def test_later_sighting_is_not_replaced_by_an_earlier_one():
    """A reply may tell more than an entry that is read after it."""
    history = InstanceHistory()
    history.observe([endpoint("e0")], (), 10.0)
    history.record_running(E0, 10.4)
    history.observe([endpoint("e0")], ("e0",), 10.5)
    assert history.running_at(E0) == 10.4
