from __future__ import annotations

import dataclasses
from typing import cast

from knapweeddrum.platform.fleet_codec import encode_heartbeat
from knapweeddrum.platform.keyed_record import KeyedRecord
from knapweeddrum.process.entry.fleet_view import FleetView
from knapweeddrum.process.entry.host_reader import HostReader
from knapweeddrum.value.host_record import HostRecord
from knapweeddrum.value.identifiers import EndpointName
from knapweeddrum.value.told_limit import ToldLimit
from tests.async_test import async_test
from tests.process.entry.claim_race import (
    ClaimRacePlan,
    DistantStore,
    SharedStream,
    make_context,
)

E1 = EndpointName("e1")


def written(host: HostRecord, offset: int) -> KeyedRecord:
    """Return a heartbeat as it stands in the stream."""
    return dataclasses.replace(encode_heartbeat(host), offset=offset)


@async_test
async def test_end_of_a_limit_in_a_delayed_heartbeat_ends_no_limit_named_since():
    """Its age is that of its writing, which may have been seconds before."""
    store = cast("DistantStore", DistantStore(SharedStream(), 0.0))
    ctx = make_context(0, ClaimRacePlan(hosts=1), store)
    ctx.endpoint_limits.observe_named(E1, 2.0, 9.0, 10.0)
    record = HostRecord("b", "b/1", "b:1", "b:2", "a", True, 1)
    ended = dataclasses.replace(record, limits=(ToldLimit("e1", None, 0.1),))
    reader = HostReader(ctx, FleetView(ctx))
    reader.apply_records([written(ended, 7)], 12.5)
    assert ctx.endpoint_limits.limit(E1, 13.0) == 2.0


@async_test
async def test_heartbeat_that_was_carried_out_after_a_later_one_raises_no_limit():
    """What it tells of an endpoint's limit may be older than a write may be late."""
    store = cast("DistantStore", DistantStore(SharedStream(), 0.0))
    ctx = make_context(0, ClaimRacePlan(hosts=1), store)
    reader = HostReader(ctx, FleetView(ctx))
    late = HostRecord(
        "b", "b/1", "b:1", "b:2", "a", True, 1, limits=(ToldLimit("e1", 9.0, 0.1),)
    )
    later = dataclasses.replace(late, beat=5, limits=(ToldLimit("e1", 2.0, 0.1),))
    reader.apply_records([written(later, 7)], 10.0)
    assert ctx.endpoint_limits.limit(E1, 10.0) == 2.0
    reader.apply_records([written(late, 8)], 15.0)
    assert ctx.endpoint_limits.limit(E1, 15.0) == 2.0
