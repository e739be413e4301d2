from __future__ import annotations

from typing import cast

from knapweeddrum.core.catalog.entry_order import MAX_WRITE_DELAY_SECONDS
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
from tests.process.entry.test_host_reader import written

E1 = EndpointName("e1")


@async_test
async def test_last_heartbeat_of_a_host_that_is_carried_out_late_ends_no_limit():
    """Its limits are older than a heartbeat is taken to be at most (LIMIT)."""
    store = cast("DistantStore", DistantStore(SharedStream(), 0.0))
    ctx = make_context(0, ClaimRacePlan(hosts=1), store)
    ctx.endpoint_limits.observe_named(E1, 2.0, 9.0, 10.0)
    ended = (ToldLimit("e1", None, 0.1),)
    host = HostRecord("b", "b/1", "b:1", "b:2", "a", True, 1, limits=ended)
    sent_at = 9.5
    read_at = sent_at + MAX_WRITE_DELAY_SECONDS - 1.0
    HostReader(ctx, FleetView(ctx)).apply_records([written(host, 7)], read_at)
    assert ctx.endpoint_limits.limit(E1, read_at) == 2.0
