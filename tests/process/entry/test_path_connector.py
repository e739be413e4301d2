from __future__ import annotations

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


async def probe_of_a_refusing_endpoint(
    ctx: EntryContext, elsewhere: ProbeResult | None
) -> ProbeResult | None:
    """Return what a probe tells of an endpoint that refuses this host."""
    entry = EndpointEntry("e-1", "engine", f"127.0.0.1:{free_ports(1)[0]}", "a", 8)
    paths = PathConnector(ctx, OtherHosts(elsewhere))
    result = await paths.probe(entry)
    is_lost = ctx.reach.is_path_lost(instance_name(entry))
    assert is_lost == (elsewhere is ProbeResult.CONNECTED)
    return result


@async_test
async def test_refused_probe_that_no_host_can_confirm_shows_no_crash():
    """The other hosts may be cut off too, or this one has just been paused."""
    assert await probe_of_a_refusing_endpoint(context(), None) is None


@async_test
async def test_refused_probe_tells_what_other_hosts_confirm():
    """A host without others goes by its own connection."""
    for result in ProbeResult:
        assert await probe_of_a_refusing_endpoint(context(), result) is result
    alone = context(is_alone=True)
    assert await probe_of_a_refusing_endpoint(alone, None) is ProbeResult.REFUSED


def test_data_through_another_host_does_not_show_that_a_path_is_whole():
    """A neighbour that is heard through another host is no sign of a crash."""
    state = EndpointState(EndpointEntry("e-1", "engine", "10.0.0.1:1", "a", 8))
    state.record_data(1.0)
    state.record_data(2.0, is_direct=False)
    assert (state.last_data_at, state.direct_data_at) == (2.0, 1.0)
