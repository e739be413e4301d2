from __future__ import annotations

import dataclasses

from knapweeddrum.core.catalog.cold_ramp import ColdRamp
from knapweeddrum.core.catalog.endpoint_entry import EndpointEntry
from knapweeddrum.core.catalog.entry_outcome import EntryOutcome
from knapweeddrum.core.catalog.service_list import ServiceList
from knapweeddrum.core.placing.cold_endpoints import LIST_OLD_SECONDS, ColdEndpoints
from knapweeddrum.value.identifiers import EndpointName

E1 = EndpointName("e1")
RATE = 7.5
ENTRY = EndpointEntry("e1", "engine", "10.0.0.1:1", "a", 8, number=5)


def _cold(remaining: float | None, position: int = 10) -> ColdEndpoints:
    """Return what a host knows at 100.0 that has just read an entry."""
    cold = ColdEndpoints()
    cold.set_ramps({"engine": ColdRamp(RATE, 20.0)})
    entry = dataclasses.replace(ENTRY, cold_remaining=remaining)
    cold.observe_entry(E1, entry, position, 100.0)
    cold.observe_read([E1], 99.9, position + 1)
    return cold


def test_entry_tells_how_long_an_endpoint_stays_cold():
    """A service without a ramp is never limited."""
    cold = _cold(2.0)
    assert (cold.limit(E1, 101.9), cold.limit(E1, 102.0)) == (RATE, None)
    assert cold.cold_left(E1, 101.5) == 0.5
    cold.set_ramps({})
    assert cold.limit(E1, 101.0) is None


def test_entry_that_says_warm_ends_the_cold_time_and_a_later_one_begins_it():
    """An endpoint may become cold at any moment."""
    cold = _cold(20.0)
    cold.observe_entry(E1, dataclasses.replace(ENTRY, cold_remaining=0.0), 11, 101.0)
    assert cold.limit(E1, 101.0) is None
    cold.observe_entry(E1, dataclasses.replace(ENTRY, cold_remaining=9.0), 12, 102.0)
    assert cold.limit(E1, 102.0) == RATE


def test_entry_of_an_older_copy_makes_no_endpoint_warm():
    """Its position is of the later era, its number is lower."""
    cold = _cold(20.0)
    older = dataclasses.replace(ENTRY, cold_remaining=0.0, number=4)
    cold.observe_entry(E1, older, 1 << 48, 101.0)
    assert cold.limit(E1, 101.0) == RATE


def test_start_whose_entry_cannot_be_read_is_cold_for_the_time_of_its_service():
    """It counts from when the start was first listed."""
    cold = _cold(None)
    unreadable = dataclasses.replace(ENTRY, cold_remaining=None)
    cold.observe_entry(E1, unreadable, 11, 118.0)
    cold.observe_read([E1], 119.9, 12)
    assert (cold.limit(E1, 119.9), cold.limit(E1, 120.0)) == (RATE, None)


def test_host_whose_list_is_old_takes_every_endpoint_for_cold():
    """One may have become cold since; a host that has read more recently knows."""
    cold = _cold(0.0)
    old_at = 100.0 + LIST_OLD_SECONDS
    assert (cold.limit(E1, 100.0), cold.limit(E1, old_at)) == (None, RATE)
    assert cold.cold_left(E1, old_at) == 0.0
    question = cold.limit_of_question
    assert question(E1, RATE, may_err=True, now=100.0) is None
    assert question(E1, RATE, may_err=False, now=100.0) == RATE
    assert question(E1, RATE, may_err=True, now=old_at) == RATE
    assert question(EndpointName("e2"), RATE, may_err=True, now=100.0) == RATE


def test_endpoints_are_cold_after_a_return_until_an_entry_written_later():
    """An entry that was written before the removal may be read after it."""
    cold = _cold(0.0)
    cold.take_back("a", 100.5)
    warm = dataclasses.replace(ENTRY, cold_remaining=0.0)
    cold.observe_entry(E1, warm, 11, 100.6)
    cold.observe_read([E1], 100.4, 12)
    assert cold.limit(E1, 100.6) == RATE
    cold.observe_entry(E1, warm, 12, 101.0)
    cold.observe_read([E1], 100.9, 13)
    assert cold.limit(E1, 101.0) == RATE
    cold.observe_entry(E1, warm, 13, 101.5)
    cold.observe_read([E1], 101.4, 14)
    assert cold.limit(E1, 101.5) is None


def test_cold_time_is_no_change_of_the_service_list():
    """It differs in each entry, and all who follow the list would follow it."""
    listed = ServiceList()
    first = dataclasses.replace(ENTRY, cold_remaining=9.0)
    assert listed.apply_entry("e1", 1, first, 1.0) is EntryOutcome.CHANGED
    newer = dataclasses.replace(ENTRY, cold_remaining=8.0, number=6)
    assert listed.apply_entry("e1", 2, newer, 2.0) is EntryOutcome.UNCHANGED
    assert listed.version == 1
