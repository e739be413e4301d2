"""Clients that nobody controls must not end a process by what it holds for them.

All cases are in this one module, as the tests of a module run one after the other and
several crowds at a time would starve each other.
"""

from __future__ import annotations

import contextlib
import tomllib
from collections.abc import AsyncIterator

import anyio
import anyio.abc

from tests.async_test import async_test
from tests.process.entry.entry_harness import (
    EntryHarness,
    configuration,
    entry_harness,
)
from tests.process.entry.process_watch import ProcessWatch, watched
from tests.process.entry.uncontrolled_crowd import (
    Crowd,
    body_client,
    pipelining_client,
    request_head,
    silent_client,
    trickling_client,
)
from tests.standins.stamped_server import StampedServer

MEMORY_MB = 128
MAX_DESCRIPTORS = 320
DESCRIPTORS_FOR_FILES = 200
"""Descriptors that are not for sockets, as the platform's limits say."""

BODY_BYTES = 4_194_304
LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": BODY_BYTES,
    "headerTimeoutMs": 3_000,
    "idleTimeoutMs": 15_000,
}
LARGE_CROWD = 60
"""Its bodies together are twice the memory."""

WIDE_CROWD = 300
"""Its connections are more than twice the sockets."""

PAGE_BODY_BYTES = 65_536
ORDINARY_TRIES = 100
TRY_PAUSE_SECONDS = 0.1
BARE_REQUEST = b"GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n"


class UnreadingServer(StampedServer):
    """An endpoint that takes connections and reads nothing from them."""

    async def _connection(self, stream: anyio.abc.SocketStream) -> None:
        self.connections += 1
        await anyio.sleep_forever()


@contextlib.asynccontextmanager
async def small_host(
    answer: bytes = b"booked",
) -> AsyncIterator[tuple[EntryHarness, Crowd, ProcessWatch]]:
    """Run a host of little memory, a crowd without clients, and a watch of the host.

    Its model engine reads nothing; its plain service gives the answer.
    """
    engine = UnreadingServer("engine-1")
    stock = StampedServer("stock-1", body=answer)
    stock.max_body_bytes = BODY_BYTES
    limits = f"memoryMb = {MEMORY_MB}\nmaxFds = {MAX_DESCRIPTORS}\n"
    document = configuration(limits=LIMITS)
    async with entry_harness(
        engines=(engine,), services=(stock,), document=document, limits=limits
    ) as harness:
        own = [
            harness.caller_address,
            harness.ready_address,
            harness.directory_address,
            harness.metrics_address,
            peer_address(harness),
        ]
        peers = [engine.address, stock.address]
        async with (
            watched(harness.process.pid, own, peers) as watch,
            anyio.create_task_group() as tasks,
        ):
            yield harness, Crowd(tasks), watch
            tasks.cancel_scope.cancel()


def peer_address(harness: EntryHarness) -> str:
    """Return the address at which the process serves other hosts."""
    settings = tomllib.loads(harness.settings_path.read_text(encoding="utf-8"))
    return f"127.0.0.1:{settings['internalPorts'][0]}"


async def ordinary_answer(harness: EntryHarness) -> int:
    """Return the status of an ordinary request, which is repeated until it is 200.

    It may be refused while a crowd is there.
    """
    status = 0
    for number in range(ORDINARY_TRIES):
        with contextlib.suppress(Exception):
            answer = await harness.call("/book/1", attempt=f"ordinary-{number}")
            status = answer.status
        if status == 200:
            break
        await anyio.sleep(TRY_PAUSE_SECONDS)
    return status


async def check_outcome(harness: EntryHarness, watch: ProcessWatch) -> None:
    """Check what must hold beside any crowd that has sent its bytes and stays."""
    status = await ordinary_answer(harness)
    watch.sample()
    memory = watch.peak_memory()
    found = (
        f"ordinary request {status}, peak {memory / 1e6:.1f} MB "
        f"({watch.most_queued_bytes / 1e6:.1f} in queues), "
        f"{watch.most_descriptors} descriptors, {watch.most_sockets} sockets"
    )
    print(found)
    assert harness.process.returncode is None, found
    assert memory <= MEMORY_MB * 1_000_000, found
    assert watch.most_descriptors <= MAX_DESCRIPTORS, found
    assert watch.most_sockets <= MAX_DESCRIPTORS - DESCRIPTORS_FOR_FILES, found
    assert status == 200, found


@async_test
async def test_single_large_request_is_served_in_calm():
    """Guards against bounds that refuse what the configuration allows."""
    async with small_host() as (harness, _, watch):
        body = b"x" * BODY_BYTES
        answer = await harness.call("/book/1", body=body)
        assert answer.status == 200
        await check_outcome(harness, watch)


@async_test
async def test_whole_large_bodies():
    """Guards against a sum of legal bodies, at an endpoint that reads none of them."""
    async with small_host() as (harness, crowd, watch):
        client = body_client("/draft/1", BODY_BYTES)
        crowd.add(harness.caller_address, LARGE_CROWD, client)
        await crowd.wait_until_sent()
        await check_outcome(harness, watch)


@async_test
async def test_large_bodies_in_pieces():
    """Guards against bodies that grow side by side."""
    async with small_host() as (harness, crowd, watch):
        client = body_client("/draft/1", BODY_BYTES, pause=0.02)
        crowd.add(harness.caller_address, LARGE_CROWD, client)
        await crowd.wait_until_sent()
        await check_outcome(harness, watch)


@async_test
async def test_bodies_that_stop_short_of_their_end():
    """Guards against bodies that are held until their time is over."""
    async with small_host() as (harness, crowd, watch):
        client = body_client("/book/1", BODY_BYTES, unsent=1)
        crowd.add(harness.caller_address, LARGE_CROWD, client)
        await crowd.wait_until_sent()
        await check_outcome(harness, watch)


@async_test
async def test_requests_sent_ahead_with_answers_unread():
    """Guards against requests that are read, or lie in the kernel, without bound."""
    async with small_host() as (harness, crowd, watch):
        count = BODY_BYTES // len(BARE_REQUEST)
        client = pipelining_client(BARE_REQUEST, count)
        crowd.add(harness.caller_address, LARGE_CROWD, client)
        await crowd.wait_until_sent()
        await check_outcome(harness, watch)


@async_test
async def test_requests_sent_ahead_of_a_request_that_runs():
    """Guards against what is read ahead while a request is served."""
    async with small_host() as (harness, crowd, watch):
        first = request_head("/draft/1", 0)

        async def client(stream: anyio.abc.SocketStream) -> None:
            await stream.send(first)
            count = BODY_BYTES // len(BARE_REQUEST)
            await pipelining_client(BARE_REQUEST, count)(stream)

        crowd.add(harness.caller_address, WIDE_CROWD, client)
        await crowd.wait_until_sent()
        await check_outcome(harness, watch)


@async_test
async def test_answers_that_nobody_reads():
    """Guards against answers that are held for callers who don't read them."""
    async with small_host(b"y" * BODY_BYTES) as (harness, crowd, watch):
        client = pipelining_client(request_head("/read/1", 0), 2)
        crowd.add(harness.caller_address, LARGE_CROWD, client)
        await crowd.wait_until_sent()
        # The answers are made after the requests were sent.
        await anyio.sleep(2.0)
        await check_outcome(harness, watch)


@async_test
async def test_heads_that_come_byte_by_byte():
    """Guards against connections that are always about to send a request."""
    async with small_host() as (harness, crowd, watch):
        client = trickling_client(request_head("/book/1", 0), 0.1)
        crowd.add(harness.caller_address, WIDE_CROWD, client)
        await crowd.wait_until_sent()
        await check_outcome(harness, watch)


@async_test
async def test_connections_opened_and_left():
    """Guards against connections that use up the descriptors."""
    async with small_host() as (harness, crowd, watch):
        crowd.add(harness.caller_address, WIDE_CROWD, silent_client)
        await crowd.wait_until_sent()
        await check_outcome(harness, watch)


@async_test
async def test_request_that_is_shed_is_told_that_it_did_not_run():
    """Guards against a refusal without its reason, or of a request that was sent on."""
    async with small_host() as (harness, _, _):
        host, _, port = harness.caller_address.rpartition(":")
        async with contextlib.AsyncExitStack() as stack:
            streams = []
            # Three incomplete bodies, each counted twice, exceed what large ones have.
            for _ in range(3):
                stream = await anyio.connect_tcp(host, int(port))
                streams.append(await stack.enter_async_context(stream))
                await body_client("/book/1", BODY_BYTES, unsent=1)(stream)
            with anyio.fail_after(LIMITS["idleTimeoutMs"] / 2000):
                # The first is the slowest; it gets its answer before its time is over.
                answer = b""
                while b'"run_state"' not in answer:
                    answer += await streams[0].receive()
        assert answer.startswith(b"HTTP/1.1 429 "), answer
        assert b'"run_state":"not_run"' in answer, answer
        assert b"retry-after:" in answer.lower(), answer
        assert harness.events("connection_shed")[0]["phase"] == "receiving"
        assert not harness.events("request_sent")


@async_test
async def test_crowd_at_the_pages():
    """Guards against the same at the pages for hosts, operators and the directory."""
    async with small_host() as (harness, crowd, watch):
        short = body_client("/x", PAGE_BODY_BYTES, unsent=1)
        page = b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n"
        ahead = pipelining_client(page, 8000)
        for address in (
            harness.ready_address,
            harness.directory_address,
            harness.metrics_address,
            peer_address(harness),
        ):
            crowd.add(address, WIDE_CROWD // 6, silent_client)
            crowd.add(address, WIDE_CROWD // 6, short)
        crowd.add(harness.metrics_address, LARGE_CROWD, ahead)
        await crowd.wait_until_sent()
        await check_outcome(harness, watch)
        ready = await harness.get(harness.ready_address, "/-/ready")
        assert ready.status == 200
