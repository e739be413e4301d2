from __future__ import annotations

import time
from typing import cast

import anyio

from knapweeddrum.core.catalog.endpoint_entry import EndpointEntry
from knapweeddrum.core.placing.endpoint_state import EndpointState
from knapweeddrum.http.connection_pool import ConnectionPool
from knapweeddrum.platform.fleet_codec import encode_heartbeat
from knapweeddrum.platform.streams import EMPTIED_KEY_PREFIX
from knapweeddrum.process.entry.attempt_error import AttemptError
from knapweeddrum.process.entry.crash_detector import CrashDetector
from knapweeddrum.process.entry.endpoint_attempt import endpoint_attempt
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.fleet_view import FleetView
from knapweeddrum.process.entry.host_reader import HostReader
from knapweeddrum.process.entry.lost_connection import LossCause, LostConnection
from knapweeddrum.process.entry.request_job import RequestJob
from knapweeddrum.value.host_record import HostRecord
from knapweeddrum.value.retry_reason import RetryReason
from knapweeddrum.value.told_data_centre import ToldDataCentre
from tests.assertions import raises
from tests.async_test import async_test
from tests.process.entry.claim_race import (
    ClaimRacePlan,
    DistantStore,
    SharedStream,
    make_context,
)
from tests.process.entry.entry_harness import Answer, entry_harness
from tests.standins.platform_store import PlatformStore
from tests.standins.recording_event_log import RecordingEventLog
from tests.standins.stamped_server import StampedServer

KEY = f"{EMPTIED_KEY_PREFIX}zone-a"


def _context() -> EntryContext:
    store = cast("DistantStore", DistantStore(SharedStream(), 0.0))
    return make_context(0, ClaimRacePlan(hosts=1), store)


class _SlowPool:
    """Hands out connections; the data centre is emptied meanwhile."""

    def __init__(self, ctx: EntryContext) -> None:
        self._ctx = ctx
        self.released = 0

    async def acquire(self, *_: object) -> object:
        self._ctx.emptied.apply("a", 7, is_emptied=True, now=time.monotonic())
        return object()

    async def release(self, *_: object) -> None:
        self.released += 1


@async_test
async def test_request_placed_before_is_not_sent_once_the_data_centre_is_emptied():
    """The connection to the endpoint takes longer than the record."""
    ctx = _context()
    pool = _SlowPool(ctx)
    ctx.pool = cast("ConnectionPool", pool)
    state = EndpointState(EndpointEntry("e1", "engine", "10.0.0.1:1", "a", 8))
    job = cast(
        "RequestJob", type("Job", (), {"max_connections": 1, "permit_at": None})()
    )
    with raises(AttemptError) as held:
        async with endpoint_attempt(ctx, job, state, ""):
            pass
    assert cast("AttemptError", held[0]).reason is RetryReason.DATA_CENTRE_EMPTIED
    assert pool.released == 1


@async_test
async def test_lost_connection_to_an_emptied_data_centre_is_not_probed():
    """The detector connects to find out whether the endpoint crashed."""
    ctx = _context()
    server = StampedServer("e1")
    send, receive = anyio.create_memory_object_stream[LostConnection](1)
    async with server.serve() as address:
        entry = EndpointEntry("e1", "engine", address, "a", 8)
        ctx.service_list.apply_entry("e1", 1, entry, 0.0)
        state = EndpointState(entry)
        ctx.emptied.apply("a", 7, is_emptied=True, now=time.monotonic())
        loss = LostConnection(state, time.monotonic(), LossCause.CONNECTION_LOST)
        send.send_nowait(loss)
        with anyio.move_on_after(0.6):
            await CrashDetector(ctx, receive).run()
    assert server.connections == 0
    assert "endpoint_examined" in cast("RecordingEventLog", ctx.events).names


@async_test
async def test_host_learns_of_an_emptied_data_centre_from_a_heartbeat():
    """A host that starts after the store lost the record reads the heartbeats."""
    ctx = _context()
    host = HostRecord(
        "b", "b/1", "", "", "a", True, 1, emptied=(ToldDataCentre("a", 7, True),)
    )
    HostReader(ctx, FleetView(ctx)).apply_records([encode_heartbeat(host)], 1.0)
    entry = EndpointEntry("e1", "engine", "10.0.0.1:1", "a", 8)
    assert ctx.in_use([EndpointState(entry)]) == []
    assert [told.name for told in ctx.own_record(2.0).emptied] == ["a"]


@async_test
async def test_streams_go_on_and_nothing_else_is_sent_to_an_emptied_data_centre():
    """A request without another endpoint is refused until the record is removed."""
    engine = StampedServer("engine-1", events=30)
    engine.event_gap = 0.05
    async with entry_harness(engines=(engine,)) as harness:
        streams: list[Answer] = []

        async def stream() -> None:
            streams.append(await harness.call("/draft/1", tokens="100,90"))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(stream)
            with anyio.fail_after(10.0):
                while not engine.arrivals:
                    await anyio.sleep(0.02)
                harness.store.put("keyed.op", KEY, {})
                await harness.wait_for_event("data_centre_emptied")
            refused = await harness.call("/draft/2", attempt="a2", tokens="10,9")
            assert refused.status == 503
            assert b"no_endpoint" in refused.body
        assert engine.arrivals == 1
        assert (streams[0].status, streams[0].is_complete) == (200, True)
        harness.store.drop("keyed.op", KEY)
        with anyio.fail_after(10.0):
            await harness.wait_for_event("data_centre_taken_back")
        assert (await harness.call("/draft/3", tokens="10,9")).status == 200


@async_test
async def test_host_that_starts_sends_nothing_to_an_emptied_data_centre():
    """It reads the record before it is ready."""
    engine = StampedServer("engine-1", events=2)
    store = PlatformStore()
    store.put("keyed.op", KEY, {})
    async with entry_harness(engines=(engine,), store=store) as harness:
        assert (await harness.call("/draft/1", tokens="10,9")).status == 503
    assert engine.arrivals == 0
