"""Entries of endpoints that the store carries out seconds after they were sent."""

from __future__ import annotations

import anyio

from knapweeddrum.core.catalog.entry_order import (
    DEFAULT_HEARTBEAT_SECONDS,
    SILENCE_INTERVALS,
)
from tests.async_test import async_test
from tests.process.entry.entry_harness import (
    EntryHarness,
    entry_harness,
    entry_process,
)
from tests.standins.stamped_server import StampedServer

CALLS = 6
POLL_SECONDS = 0.02
READ_SECONDS = 1.2
"""Time within which a host has read what was written; it reads every 0.5 s."""
SILENT_SECONDS = 3 * DEFAULT_HEARTBEAT_SECONDS
"""Silence after which the store removes an entry."""


def service(number: int) -> StampedServer:
    return StampedServer(f"stock-{number}", body=b"booked")


def write(harness: EntryHarness, server: StampedServer, **changes: object) -> None:
    harness.store.put(
        "keyed.servers", server.server_id, server.entry("stock", **changes)
    )


async def call(harness: EntryHarness, name: str) -> None:
    """Send some requests, all of which are served."""
    for number in range(CALLS):
        answer = await harness.call("/book/1", attempt=f"{name}-{number}")
        assert answer.status == 200


async def remove(harness: EntryHarness, server: StampedServer) -> None:
    """Remove an entry and wait until the host has read that."""
    count = len(harness.events("endpoint_unlisted"))
    harness.store.drop("keyed.servers", server.server_id)
    await harness.wait_for_event("endpoint_unlisted", count + 1)


async def lose_store(harness: EntryHarness) -> None:
    """Refuse all calls, until the host knows that it can't read the service list."""
    harness.store.busy = True
    lost: set[object] = set()
    while "keyed.servers" not in lost:
        await anyio.sleep(POLL_SECONDS)
        lost = {line["dependency"] for line in harness.events("waiting")}


async def check_late_heartbeat(leaving: StampedServer) -> None:
    """Carry out a heartbeat after the removal that followed a later one."""
    staying = service(2)
    async with entry_harness(services=(leaving, staying)) as harness:
        late = leaving.entry("stock")
        write(harness, leaving)
        await anyio.sleep(READ_SECONDS)
        await remove(harness, leaving)
        harness.store.put("keyed.servers", leaving.server_id, late)
        await anyio.sleep(READ_SECONDS)
        await call(harness, "after")
        assert leaving.arrivals == 0
        assert harness.events("entry_outdated")


@async_test
async def test_late_heartbeat_of_an_endpoint_that_left_brings_it_no_requests():
    """The store carried out a heartbeat from before the removal after it (DRAIN)."""
    await check_late_heartbeat(service(1))


@async_test
async def test_late_heartbeat_without_a_start_brings_a_removed_endpoint_no_requests():
    """Endpoints that don't tell their start number their entries as well (DRAIN)."""
    leaving = service(1)
    leaving.entries_tell_start = False
    await check_late_heartbeat(leaving)


@async_test
async def test_last_heartbeat_before_a_removal_brings_the_endpoint_no_requests():
    """Its number is above each that was read, and still it was sent before (DRAIN)."""
    leaving, staying = service(1), service(2)
    async with entry_harness(services=(leaving, staying)) as harness:
        write(harness, leaving)
        await anyio.sleep(READ_SECONDS)
        late = leaving.entry("stock")
        await remove(harness, leaving)
        harness.store.put("keyed.servers", leaving.server_id, late)
        await anyio.sleep(READ_SECONDS)
        await call(harness, "after")
        assert leaving.arrivals == 0


@async_test
async def test_heartbeat_from_before_a_drain_brings_a_removed_endpoint_no_requests():
    """It said that it drains, and was removed, before that was carried out."""
    leaving, staying = service(1), service(2)
    async with entry_harness(services=(leaving, staying)) as harness:
        late = leaving.entry("stock")
        write(harness, leaving, state="draining")
        await harness.wait_for_event("endpoint_listed", 3)
        await remove(harness, leaving)
        harness.store.put("keyed.servers", leaving.server_id, late)
        await anyio.sleep(READ_SECONDS)
        await call(harness, "after")
        assert leaving.arrivals == 0


@async_test
async def test_endpoint_that_was_silent_and_removed_is_used_at_its_next_heartbeat():
    """The store removed it for its silence; it has not left."""
    silent = service(1)
    async with entry_harness(services=(silent,)) as harness:
        write(harness, silent)
        await anyio.sleep(READ_SECONDS + SILENT_SECONDS)
        await remove(harness, silent)
        assert (await harness.call("/book/1")).status == 503
        write(harness, silent)
        await anyio.sleep(READ_SECONDS)
        await call(harness, "after")
    assert SILENT_SECONDS > SILENCE_INTERVALS * DEFAULT_HEARTBEAT_SECONDS


@async_test
async def test_endpoint_that_was_removed_and_started_again_is_used_at_once():
    """A later start is another endpoint, whatever was sent by the one before."""
    server = service(1)
    async with entry_harness(services=(server,)) as harness:
        await remove(harness, server)
        server.born += 1
        server.entries = 0
        write(harness, server)
        await anyio.sleep(READ_SECONDS)
        await call(harness, "after")


@async_test
async def test_late_heartbeat_of_an_earlier_start_moves_no_requests_to_its_address():
    """The endpoint runs again under its id at another address (502, MIXED)."""
    earlier, later = service(1), service(1)
    later.born = earlier.born + 1
    async with later.serve(), entry_harness(services=(earlier,)) as harness:
        late = earlier.entry("stock")
        write(harness, later)
        await harness.wait_for_event("endpoint_listed", 2)
        harness.store.put("keyed.servers", earlier.server_id, late)
        await anyio.sleep(READ_SECONDS)
        await call(harness, "beside")
        assert earlier.arrivals == 0
        await remove(harness, later)
        harness.store.put("keyed.servers", earlier.server_id, earlier.entry("stock"))
        await anyio.sleep(READ_SECONDS)
        assert (await harness.call("/book/1")).status == 503
        assert earlier.arrivals == 0


@async_test
async def test_host_that_starts_after_a_late_heartbeat_sends_the_endpoint_nothing():
    """It reads the listing, in which nothing tells that the endpoint left (DRAIN)."""
    leaving, staying = service(1), service(2)
    async with entry_harness(services=(leaving, staying)) as harness:
        late = leaving.entry("stock")
        write(harness, leaving)
        write(harness, staying)
        harness.store.drop("keyed.servers", leaving.server_id)
        harness.store.put("keyed.servers", leaving.server_id, late)
        write(harness, staying)
        async with entry_process(
            harness.store, harness.store_address, "host-2"
        ) as started:
            await started.wait_until_ready()
            await call(started, "started")
            assert leaving.arrivals == 0
            write(harness, leaving)
            await anyio.sleep(READ_SECONDS)
            assert started.events("endpoint_listed")[-1]["endpoint"] == "stock-1"


@async_test
async def test_host_that_starts_uses_endpoints_whose_late_heartbeat_is_listed():
    """The listing has an entry that was sent before others; the endpoint runs."""
    running = service(1)
    async with entry_harness(services=(running,)) as harness:
        late = running.entry("stock")
        write(harness, running)
        harness.store.put("keyed.servers", running.server_id, late)
        async with entry_process(
            harness.store, harness.store_address, "host-2"
        ) as started:
            await started.wait_until_ready()
            await call(started, "started")


@async_test
async def test_late_heartbeat_after_an_outage_renews_no_endpoint_that_left():
    """It was sent before one that was read; the entry lapsed in the outage (DRAIN)."""
    leaving, staying = service(1), service(2)
    async with entry_harness(services=(leaving, staying)) as harness:
        late = leaving.entry("stock")
        write(harness, leaving)
        await anyio.sleep(READ_SECONDS)
        await lose_store(harness)
        harness.store.drop("keyed.servers", leaving.server_id)
        harness.store.put("keyed.servers", leaving.server_id, late)
        harness.store.drop("keyed.servers", staying.server_id)
        write(harness, staying)
        harness.store.busy = False
        await harness.wait_for_event("endpoint_unlisted")
        await call(harness, "after")
        assert leaving.arrivals == 0
        assert harness.events("entry_outdated")


@async_test
async def test_removal_that_is_read_after_a_short_outage_ends_requests_at_once():
    """The entry can't have expired so soon, so that the endpoint has left (DRAIN)."""
    leaving, staying = service(1), service(2)
    async with entry_harness(services=(leaving, staying)) as harness:
        write(harness, leaving)
        await anyio.sleep(READ_SECONDS)
        write(harness, leaving)
        await anyio.sleep(READ_SECONDS / 2)
        await lose_store(harness)
        harness.store.drop("keyed.servers", leaving.server_id)
        harness.store.busy = False
        with anyio.fail_after(READ_SECONDS):
            (unlisted,) = await harness.wait_for_event("endpoint_unlisted")
        assert unlisted["lapsed"] is False
        arrivals = leaving.arrivals
        await call(harness, "after")
        assert leaving.arrivals == arrivals
