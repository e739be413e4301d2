from __future__ import annotations

import dataclasses
from typing import cast

from knapweeddrum.platform.fleet_codec import encode_heartbeat
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


@async_test
async def test_end_of_a_limit_in_a_delayed_heartbeat_ends_no_limit_named_since():
    """Its age is that of its writing, which may have been seconds before."""
    store = cast("DistantStore", DistantStore(SharedStream(), 0.0))
    ctx = make_context(0, ClaimRacePlan(hosts=1), store)
    ctx.endpoint_limits.observe_named(E1, 2.0, 9.0, 10.0)
    record = HostRecord("b", "b/1", "b:1", "b:2", "a", True, 1)
    ended = dataclasses.replace(record, limits=(ToldLimit("e1", None, 0.1),))
    reader = HostReader(ctx, FleetView(ctx))
    reader.apply_records([encode_heartbeat(ended)], 12.5)
    assert ctx.endpoint_limits.limit(E1, 13.0) == 2.0
