from __future__ import annotations

import json
from typing import cast

from knapweeddrum.core.catalog.endpoint_entry import EndpointEntry
from knapweeddrum.core.placing.endpoint_states import instance_name
from knapweeddrum.platform.keyed_record import KeyedRecord
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.service_list_reader import ServiceListReader
from knapweeddrum.process.entry.stream_read import StreamRead
from tests.process.entry.claim_race import (
    ClaimRacePlan,
    DistantStore,
    SharedStream,
    make_context,
)

ADDRESS = "10.0.0.1:1"
BORN = 1_700_000_000_000


def record(offset: int, number: int) -> KeyedRecord:
    """Return an entry of the endpoint e1 as it stands in the stream."""
    body = {
        "service": "engine",
        "address": ADDRESS,
        "zone": "a",
        "slots": 4,
        "state": "ready",
        "seq": number,
        "born": BORN,
    }
    return KeyedRecord("e1", json.dumps(body).encode(), offset)


def context() -> EntryContext:
    store = cast("DistantStore", DistantStore(SharedStream(), 0.0))
    return make_context(0, ClaimRacePlan(hosts=1), store)


def running_at(ctx: EntryContext) -> float:
    entry = EndpointEntry("e1", "engine", ADDRESS, "a", 4, started_at_ms=BORN)
    return ctx.instances.running_at(instance_name(entry))


def test_entry_that_a_new_listing_repeats_is_no_sign_of_a_running_start():
    """Its endpoint may have ended since: streams of two versions (ORDER)."""
    ctx = context()
    reader = ServiceListReader(ctx)
    reader.apply_listing([record(4, 1)], 5, 10.0)
    reader.on_up_to_date(StreamRead(10.0, 10.1, 5))
    reader.on_up_to_date(StreamRead(20.0, 20.1, 5))
    reader.apply_past([record(4, 1)], 30.0)
    reader.apply_listing([record(4, 1)], 5, 30.0)
    reader.on_up_to_date(StreamRead(30.0, 30.1, 5))
    assert running_at(ctx) == float("-inf")


def test_late_entry_is_no_sign_of_a_running_start():
    """It was sent before one that was read at the last list (ORDER)."""
    ctx = context()
    reader = ServiceListReader(ctx)
    reader.apply_listing([record(4, 3)], 5, 10.0)
    reader.on_up_to_date(StreamRead(10.0, 10.1, 5))
    reader.apply_records([record(5, 2)], 11.0)
    reader.on_up_to_date(StreamRead(11.0, 11.1, 6))
    assert running_at(ctx) == float("-inf")


def test_entry_that_was_written_since_the_last_list_shows_a_running_start():
    """What it shows is that its start ran when that list was asked for."""
    ctx = context()
    reader = ServiceListReader(ctx)
    reader.apply_listing([record(4, 1)], 5, 10.0)
    reader.on_up_to_date(StreamRead(10.0, 10.1, 5))
    reader.apply_records([record(5, 2)], 11.0)
    reader.on_up_to_date(StreamRead(11.0, 11.1, 6))
    assert running_at(ctx) == 10.0
