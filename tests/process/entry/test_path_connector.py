from __future__ import annotations

import time
from typing import cast

from knapweeddrum.core.catalog.endpoint_entry import EndpointEntry
from knapweeddrum.core.placing.endpoint_state import EndpointState
from knapweeddrum.core.placing.endpoint_states import instance_name
from knapweeddrum.http.client_connection import ClientConnection
from knapweeddrum.http.exceptions import NoPathError
from knapweeddrum.process.entry.endpoint_connector import EndpointConnector
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.path_connector import PathConnector
from knapweeddrum.value.host_record import HostRecord
from knapweeddrum.value.probe_result import ProbeResult
from tests.async_test import async_test
from tests.process.entry.claim_race import (
    ClaimRacePlan,
    DistantStore,
    SharedStream,
    make_context,
)
from tests.standins.stamped_server import StampedServer
from tools.free_ports import free_ports


class OtherHosts(EndpointConnector):
    """Other hosts that answer each question in one way, None for not at all."""

    def __init__(self, result: ProbeResult | None) -> None:
        self._result = result

    async def connect(self, entry: EndpointEntry, timeout: float) -> ClientConnection:
        raise NoPathError("no other host can connect")

    async def probe(self, entry: EndpointEntry) -> ProbeResult | None:
        return self._result


def context(*, is_alone: bool = False) -> EntryContext:
    """Return the context of a host that knows another one, unless it is alone."""
    store = cast("DistantStore", DistantStore(SharedStream(), 0.0))
    ctx = make_context(0, ClaimRacePlan(hosts=1), store)
    if not is_alone:
        other = HostRecord("other", "i-1", "10.0.0.2:1", "10.0.0.2:2", "a", True, 1)
        ctx.hosts.apply_heartbeat("other", 1, other)
    return ctx


async def is_confirmed(ctx: EntryContext, elsewhere: ProbeResult | None) -> bool:
    """Return whether it is confirmed that an endpoint which refuses is gone."""
    entry = EndpointEntry("e-1", "engine", f"127.0.0.1:{free_ports(1)[0]}", "a", 8)
    paths = PathConnector(ctx, OtherHosts(elsewhere))
    assert await paths.probe(entry) is ProbeResult.REFUSED
    confirmed = await paths.confirm_failure(entry)
    is_lost = ctx.reach.is_path_lost(instance_name(entry))
    assert is_lost == (elsewhere is ProbeResult.CONNECTED)
    return confirmed


@async_test
async def test_failure_that_no_host_can_confirm_shows_no_crash():
    """The other hosts may be cut off too, or this one has just been paused."""
    assert not await is_confirmed(context(), None)


@async_test
async def test_failure_is_confirmed_by_other_hosts():
    """A host without others goes by its own connection."""
    assert await is_confirmed(context(), ProbeResult.REFUSED)
    assert await is_confirmed(context(), ProbeResult.UNANSWERED)
    assert not await is_confirmed(context(), ProbeResult.CONNECTED)
    assert await is_confirmed(context(is_alone=True), None)


@async_test
async def test_endpoint_that_has_just_come_back_leaves_no_lost_path():
    """Another host reached it first."""
    server = StampedServer("e-1")
    ctx = context()
    async with server.serve() as address:
        entry = EndpointEntry("e-1", "engine", address, "a", 8)
        name = instance_name(entry)
        ctx.reach.record(name, ProbeResult.REFUSED, time.monotonic())
        await PathConnector(ctx, OtherHosts(ProbeResult.CONNECTED)).ask_others(entry)
    assert not ctx.reach.is_path_lost(name)
    assert ctx.reach.unreached() == []


def test_data_through_another_host_does_not_show_that_a_path_is_whole():
    """A neighbour that is heard through another host is no sign of a crash."""
    state = EndpointState(EndpointEntry("e-1", "engine", "10.0.0.1:1", "a", 8))
    state.record_data(1.0)
    state.record_data(2.0, is_direct=False)
    assert (state.last_data_at, state.direct_data_at) == (2.0, 1.0)
