"""Entries of endpoints that don't tell their start."""

from __future__ import annotations

import dataclasses

from knapweeddrum.core.catalog.endpoint_entry import EndpointEntry
from knapweeddrum.core.catalog.entry_judgement import EntryRule
from knapweeddrum.core.catalog.entry_order import MAX_WRITE_DELAY_SECONDS, EntryOrder

INTERVAL = 1.2
NEWEST = EndpointEntry("e1", "engine", "10.0.0.1:1", "a", 8, number=20)


def known_order(*, removed_at: float | None = None) -> EntryOrder:
    """Return the order after the entry was read at 10, asked for at 9.5."""
    order = EntryOrder(INTERVAL)
    order.record_entry(NEWEST, 10.0, 9.5)
    if removed_at is not None:
        order.record_removal("e1", removed_at, removed_at - 0.5)
    return order


def rule_of(order: EntryOrder, now: float, **changes: object) -> EntryRule:
    entry = dataclasses.replace(NEWEST, **changes)
    return order.judge(entry, now - 0.5, now).rule


def test_late_entry_without_a_start_brings_no_endpoint_back_that_left():
    """Two numbers above the last are late as well, as none was silent (DRAIN)."""
    order = known_order(removed_at=11.0)
    for number in range(15, 23):
        assert rule_of(order, 13.0, number=number) is EntryRule.BEFORE_REMOVAL
    assert rule_of(order, 13.0, number=23) is EntryRule.AFTER_LEAVING


def test_late_entry_without_a_start_ends_no_drain():
    """It was sent before the one that told the drain (DRAIN)."""
    order = known_order()
    assert rule_of(order, 12.0, number=19) is EntryRule.OLDER
    assert rule_of(order, 12.0, number=20) is EntryRule.NEXT


def test_endpoint_without_a_start_that_was_silent_counts_at_its_next_entry():
    order = known_order(removed_at=13.6)
    assert rule_of(order, 14.0, number=20) is EntryRule.BEFORE_REMOVAL
    assert rule_of(order, 14.0, number=21) is EntryRule.AFTER_SILENCE


def test_endpoint_without_a_start_that_was_started_again_counts_at_once():
    """It counts anew, lower than any late entry is, or has another address."""
    order = known_order(removed_at=11.0)
    assert rule_of(order, 12.0, number=1) is EntryRule.UNTOLD_START
    assert rule_of(order, 12.0, address="10.0.0.2:1") is EntryRule.UNTOLD_START
    assert rule_of(known_order(), 12.0, number=1) is EntryRule.UNTOLD_START


def test_entry_without_a_start_counts_once_no_write_can_be_so_late():
    """So that an endpoint that ran for a short time is back in the end."""
    order = known_order(removed_at=11.0)
    late_enough = 11.0 + MAX_WRITE_DELAY_SECONDS + 0.5
    assert rule_of(order, late_enough - 0.1, number=19) is EntryRule.BEFORE_REMOVAL
    assert rule_of(order, late_enough, number=19) is EntryRule.CARRIED_OUT_LATER


def test_entries_without_start_and_number_all_count():
    order = known_order(removed_at=11.0)
    assert rule_of(order, 12.0, number=0) is EntryRule.UNTOLD_START
