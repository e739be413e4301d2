"""Records of other writers that a host can't read."""

from __future__ import annotations

import json
import signal
import sys

import anyio

from knapweeddrum.process.entry.crash_sharing import CRASH_EXCHANGE_PATH
from knapweeddrum.process.entry.loan_exchange import LOAN_PATH, RETURN_PATH
from knapweeddrum.process.entry.permit_desk import LIMIT_NEWS_PATH, PERMIT_PATH
from knapweeddrum.process.entry.sighting_task import SIGHTING_PATH
from knapweeddrum.process.entry.stream_origin_sharing import NOTICE_PATH, QUESTION_PATH
from knapweeddrum.process.entry.token_unlocker import UNLOCK_PATH
from knapweeddrum.process.entry.token_witness import WITNESS_LEAVE_PATH
from tests.async_test import async_test
from tests.process.entry.entry_harness import (
    EntryHarness,
    configuration,
    entry_harness,
    entry_process,
)
from tests.standins.platform_store import PlatformStore
from tests.standins.stamped_server import StampedServer

STREAMS = (
    "keyed.servers",
    "keyed.op",
    "keyed.hosts",
    "keyed.claims",
    "keyed.crashes",
)
KEYS = {"keyed.op": "config", "keyed.claims": "mill|other/1"}
"""Keys that a stream's readers look at; any other in the other streams."""
DEPTH = 4 * sys.getrecursionlimit()
DEEP = "[" * DEPTH + "]" * DEPTH
PEER_PATHS = (
    LOAN_PATH,
    RETURN_PATH,
    UNLOCK_PATH,
    WITNESS_LEAVE_PATH,
    SIGHTING_PATH,
    PERMIT_PATH,
    LIMIT_NEWS_PATH,
    CRASH_EXCHANGE_PATH,
    NOTICE_PATH,
    QUESTION_PATH,
)


def stock() -> StampedServer:
    return StampedServer("stock-1", body=b"booked")


def deep_entry(server: StampedServer) -> bytes:
    """Return an entry whose version is lists within each other."""
    entry = json.dumps(server.entry("stock", version="VERSION"))
    return entry.replace('"VERSION"', DEEP).encode()


def write_deep_records(store: PlatformStore, server: StampedServer) -> None:
    """Write to each stream a record that is nested too deep."""
    for name in STREAMS:
        value = deep_entry(server) if name == "keyed.servers" else DEEP.encode()
        store.stream(name).append(KEYS.get(name, "other-writer"), value)


async def assert_serving(harness: EntryHarness, attempt: str) -> None:
    answer = await harness.call("/book/1", attempt=attempt)
    assert (answer.status, answer.body) == (200, b"booked")
    assert harness.process.returncode is None


@async_test
async def test_host_outlives_records_that_are_nested_too_deep():
    """One such record in a stream must not end a host, nor all of them together."""
    server = stock()
    async with entry_harness(services=(server,)) as harness:
        await assert_serving(harness, "before")
        write_deep_records(harness.store, server)
        with anyio.fail_after(8):
            await harness.wait_for_event("entry_ignored", len(STREAMS) - 2)
            await harness.wait_for_event("config_rejected")
        await assert_serving(harness, "after")
        page = (await harness.get(harness.metrics_address, "/metrics")).body.decode()
        assert 'knapweed_events_total{name="config.rejected"} 1.0' in page
        harness.send_signal(signal.SIGTERM)
        with anyio.fail_after(8):
            assert await harness.process.wait() == 0


@async_test
async def test_host_starts_while_the_store_keeps_records_that_are_nested_too_deep():
    """They stay in the history that a host reads at its start."""
    server, store = stock(), PlatformStore()
    async with store.serve() as address, server.serve():
        store.put("keyed.op", "config", configuration())
        write_deep_records(store, server)
        store.put("keyed.op", "config", configuration(2))
        store.drop("keyed.servers", "other-writer")
        store.put("keyed.servers", server.server_id, server.entry("stock"))
        async with entry_process(store, address, "host-1") as harness:
            await harness.wait_until_ready()
            await assert_serving(harness, "first")


@async_test
async def test_host_outlives_a_peer_message_that_is_nested_too_deep():
    """It is answered 400, with a line that names the page."""
    async with entry_harness(services=(stock(),)) as harness:
        peer_address = await _peer_address(harness)
        for path in PEER_PATHS:
            answer = await harness.exchange(
                peer_address, b"POST", path, _headers(), DEEP.encode()
            )
            assert answer.status == 400, path
        await harness.wait_for_event("message_rejected", len(PEER_PATHS))
        await assert_serving(harness, "after")


async def _peer_address(harness: EntryHarness) -> str:
    """Return where the host answers others, as its heartbeat says."""
    with anyio.fail_after(5):
        while not harness.store.stream("keyed.hosts").newest:
            await anyio.sleep(0.05)
    newest = harness.store.stream("keyed.hosts").newest
    return str(json.loads(newest["host-1"][1])["peer_address"])


def _headers() -> list[tuple[bytes, bytes]]:
    return [(b"Host", b"peer"), (b"Content-Length", str(len(DEEP)).encode())]
