from __future__ import annotations

import dataclasses

from knapweeddrum.core.catalog.endpoint_entry import EndpointEntry
from knapweeddrum.core.catalog.entry_order import (
    DEFAULT_HEARTBEAT_SECONDS,
    MIN_EXPIRY_INTERVALS,
)
from knapweeddrum.core.catalog.entry_outcome import EntryOutcome
from knapweeddrum.core.catalog.service_list import (
    LAPSED_ENTRY_GRACE_SECONDS,
    MIN_WRITES_OF_SERVED_ENDPOINT,
    ServiceList,
    lapse_grace,
)

MIN_EXPIRY_SECONDS = MIN_EXPIRY_INTERVALS * DEFAULT_HEARTBEAT_SECONDS


def entry(name: str, **changes) -> EndpointEntry:
    values = {
        "endpoint_id": name,
        "service": "engine",
        "address": "10.0.0.1:1",
        "data_centre": "a",
        "slots": 4,
    }
    return EndpointEntry(**{**values, **changes})


def lost_list() -> ServiceList:
    """Return a list of two endpoints at a host that can't reach the store."""
    listed = ServiceList()
    listed.apply_entry("e1", 0, entry("e1"), 1.0)
    listed.apply_entry("e2", 1, entry("e2"), 1.0)
    listed.store_lost()
    return listed


def usable(listed: ServiceList) -> list[str]:
    return [found.endpoint_id for found in listed.usable("engine")]


def test_removed_or_draining_entry_is_unusable_at_once():
    """A removed or draining endpoint gets no more requests."""
    listed = ServiceList()
    listed.apply_entry("e1", 0, entry("e1"), 1.0)
    listed.apply_entry("e2", 1, entry("e2"), 1.0)
    listed.apply_entry("e1", 2, entry("e1", draining=True), 1.0)
    assert usable(listed) == ["e2"]
    assert listed.apply_removal("e2", 3, now=10.0)
    assert usable(listed) == []


def test_older_record_never_replaces_a_newer():
    """A listing that was read late replaces no newer entry."""
    listed = ServiceList()
    listed.apply_entry("e1", 5, entry("e1", draining=True), 1.0)
    outcome = listed.apply_entry("e1", 4, entry("e1"), 2.0)
    assert outcome is EntryOutcome.UNCHANGED
    assert usable(listed) == []


def test_entry_that_lapses_in_an_outage_is_kept_for_a_grace_period():
    """After a store outage an entry may be renewed for LAPSED_ENTRY_GRACE_SECONDS."""
    listed = ServiceList()
    listed.apply_entry("e1", 0, entry("e1"), 1.0)
    listed.apply_entry("e2", 1, entry("e2"), 1.0)
    listed.store_lost()
    listed.store_reached(100.0)
    assert not listed.apply_removal("e1", 2, now=100.0)
    assert not listed.apply_removal("e2", 3, now=100.1)
    assert usable(listed) == ["e1", "e2"]
    listed.apply_entry("e2", 4, entry("e2"), 1.0)
    assert listed.expire(100.0 + LAPSED_ENTRY_GRACE_SECONDS / 2) == ()
    assert listed.expire(100.0 + LAPSED_ENTRY_GRACE_SECONDS) == ("e1",)
    assert usable(listed) == ["e2"]


def test_removal_that_a_cut_host_reads_late_counts_at_once():
    """Endpoints wrote while this host was cut off, so the store served them."""
    listed = lost_list()
    listed.apply_removal("e1", 2, now=107.5)
    for offset in range(3, 3 + MIN_WRITES_OF_SERVED_ENDPOINT):
        listed.apply_entry("e2", offset, entry("e2"), 1.0)
    listed.store_reached(107.5)
    assert listed.expire(107.5) == ("e1",)
    assert not listed.apply_removal("e1", 9, now=107.6)
    assert listed.apply_removal("e2", 10, now=107.6)


def test_entries_that_were_renewed_once_since_an_outage_prove_nothing():
    """After an outage of the store the first endpoints back don't end the grace."""
    listed = lost_list()
    listed.apply_removal("e1", 2, now=107.5)
    listed.apply_removal("e2", 3, now=107.5)
    listed.apply_entry("e2", 4, entry("e2"), 1.0)
    listed.store_reached(107.5)
    assert listed.expire(107.5) == ()
    assert usable(listed) == ["e1", "e2"]


def list_read_before_a_cut() -> ServiceList:
    """Return a list of e1, last read at 10.0, at a host that can't reach the store."""
    listed = ServiceList()
    listed.record_read(9.0)
    listed.apply_entry("e1", 0, entry("e1", started_at_ms=1, number=4), 9.5)
    listed.record_read(9.9)
    listed.store_lost()
    return listed


def test_removal_too_soon_for_silence_counts_at_once_after_a_short_cut():
    """An endpoint that left got requests for as long as a lapsed entry (DRAIN)."""
    listed = list_read_before_a_cut()
    assert listed.apply_removal("e1", 1, now=9.0 + MIN_EXPIRY_SECONDS - 0.1)
    late = entry("e1", started_at_ms=1, number=5)
    assert listed.apply_entry("e1", 2, late, 13.0) is EntryOutcome.OUTDATED
    assert usable(listed) == []


def test_removal_that_may_be_for_silence_is_kept_after_a_short_cut():
    """The endpoint may have been cut off from the store as this host was."""
    listed = list_read_before_a_cut()
    assert not listed.apply_removal("e1", 1, now=9.0 + MIN_EXPIRY_SECONDS + 0.1)
    assert usable(listed) == ["e1"]


def test_entry_that_a_store_from_an_older_copy_lacks_is_kept():
    """That it is not listed tells neither when nor why it was removed."""
    listed = list_read_before_a_cut()
    listed.apply_listing(set(), end=1, now=10.5)
    assert usable(listed) == ["e1"]


def test_late_writes_of_a_lapsed_endpoint_end_no_grace_of_others():
    """At its return the store carries out what was sent before and in the outage."""
    listed = lost_list()
    listed.apply_removal("e1", 2, now=107.5)
    listed.apply_removal("e2", 3, now=107.5)
    for offset in range(4, 4 + MIN_WRITES_OF_SERVED_ENDPOINT):
        listed.apply_entry("e2", offset, entry("e2"), 107.5)
    listed.store_reached(107.5)
    assert listed.expire(107.5) == ()
    assert usable(listed) == ["e1", "e2"]


def test_writes_before_an_outage_are_no_evidence_in_the_next():
    """Only what endpoints wrote since this host lost the store counts."""
    listed = ServiceList()
    listed.apply_entry("e1", 0, entry("e1"), 1.0)
    listed.apply_entry("e2", 1, entry("e2"), 1.0)
    for offset in range(2, 2 + MIN_WRITES_OF_SERVED_ENDPOINT):
        listed.apply_entry("e2", offset, entry("e2"), 1.0)
    listed.store_lost()
    listed.apply_removal("e1", 9, now=107.5)
    listed.store_reached(107.5)
    assert listed.expire(107.5) == ()


def test_lapsed_entry_is_kept_for_less_than_the_drain_delay():
    """The entry may be of an endpoint that leaves; its deadline is told in advance."""
    listed = ServiceList(lapse_grace=1.0)
    listed.apply_entry("e1", 0, entry("e1"), 1.0)
    listed.store_lost()
    listed.store_reached(100.0)
    assert listed.lapses_at is None
    listed.apply_removal("e1", 2, now=100.1)
    assert listed.lapses_at == 101.0
    assert listed.expire(101.0) == ("e1",)
    assert listed.lapses_at is None


def test_grace_of_lapsed_entries_ends_before_the_drain_delay():
    """It is never longer than endpoints take to renew their entries."""
    assert lapse_grace(2.0) < 2.0
    assert lapse_grace(60.0) == LAPSED_ENTRY_GRACE_SECONDS


def test_complete_listing_removes_missing_entries():
    """Endpoints that a complete listing leaves out are removed."""
    listed = ServiceList()
    listed.apply_entry("e1", 0, entry("e1"), 1.0)
    listed.apply_entry("e2", 1, entry("e2"), 1.0)
    listed.apply_listing({"e2"}, end=9, now=50.0)
    assert usable(listed) == ["e2"]


def test_draining_endpoint_is_not_made_ready_by_an_older_copy():
    """Nor is one that was removed; its next own entry counts."""
    listed = ServiceList()
    started = dataclasses.replace(entry("e1"), started_at_ms=7)
    listed.apply_entry("e1", 0, dataclasses.replace(started, draining=True), 1.0)
    listed.apply_listed_entry("e1", 1, started, 1.0)
    assert usable(listed) == []
    listed.apply_removal("e1", 2, now=50.0)
    outcome = listed.apply_listed_entry("e1", 3, started, 51.0)
    assert outcome is EntryOutcome.OUTDATED
    assert usable(listed) == []
    later = dataclasses.replace(started, started_at_ms=8)
    assert listed.apply_entry("e1", 4, later, 52.0) is EntryOutcome.CHANGED
    assert usable(listed) == ["e1"]


def test_unreadable_entry_removes_the_endpoint():
    """An entry that can't be read replaces the one that was there."""
    listed = ServiceList()
    listed.apply_entry("e1", 0, entry("e1"), 1.0)
    assert listed.apply_entry("e1", 1, None, 1.0)
    assert usable(listed) == []
