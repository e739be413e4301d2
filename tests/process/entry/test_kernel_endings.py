"""Requests and answers at the end of a connection, a listener or a process."""

from __future__ import annotations

import contextlib
import dataclasses
import select
import signal
import socket
import time

import anyio
import anyio.abc
import anyio.lowlevel

from tests.async_test import async_test
from tests.process.entry.embedded_caller_server import (
    embedded_caller_server,
    fall_behind,
    request,
)
from tests.process.entry.entry_harness import (
    HOST_NAME,
    KEY,
    EntryHarness,
    configuration,
    entry_harness,
)
from tests.process.entry.kept_connection import KeptConnection, request_bytes
from tests.standins.stamped_server import StampedServer

LISTENER_CLOSES_SECONDS = 2.5
"""Time from SIGTERM until an idle host of the harness closes its listener."""
SUSPENDED_SECONDS = 0.5
STOP_SECONDS = 0.1
"""Time after which a process that was sent SIGSTOP has stopped."""
LOSS_SLACK_SECONDS = 0.2
"""Time from a request's last byte within which it may cross a close."""
GRACE_SECONDS = 6.0
"""Grace period of the harness's hosts."""
CONNECTIONS = 20
TURNS_UNTIL_ACCEPTED = 3
"""Turns of the event loop until a connection that waits is accepted, at most."""
TURNS_UNTIL_SERVED = 8
SLICE_SECONDS = 0.05
"""Time for which a host at half a core runs, then doesn't."""
WARM_UP_SECONDS = 2.0
BUSY_CALLERS = 80
REFUSED_PAUSE_SECONDS = 0.05
PREPAID_TOKENS = 10_000_000
BODY_CHUNK_BYTES = 8192
LARGE_ANSWER_BYTES = 1_000_000
SMALL_WINDOW_BYTES = 4096


@dataclasses.dataclass(slots=True)
class Losses:
    """What callers of a busy host lost, by attempt, and how the host ended."""

    unanswered: dict[str, float] = dataclasses.field(default_factory=dict)
    """Seconds from a request's last byte to the end of its connection."""
    exit_code: int | None = None
    """None for a host that was killed at the end of the grace period."""


def stock() -> StampedServer:
    return StampedServer("stock-1", body=b"booked")


def busy_document() -> dict[str, object]:
    """Return a configuration with room for the requests of all callers."""
    services = [
        {
            "name": "engine",
            "healthPath": "/health",
            "maxConnections": 400,
            "engine": {"slots": 128, "kvTokens": 1_000_000, "stride": 3},
        },
        {"name": "stock", "healthPath": "/health", "maxConnections": 400},
    ]
    tenants = [{"name": "mill", "apiKeys": [KEY], "prepaid": PREPAID_TOKENS}]
    return configuration(services=services, tenants=tenants)


async def is_answered_after_stop(turns: int) -> bool:
    """Stop a server as a drain does, ``turns`` of the loop after a request came."""
    async with embedded_caller_server() as embedded:
        host, _, port = embedded.ctx.settings.caller_address.rpartition(":")
        # It connects without a turn of the event loop.
        conn = socket.create_connection((host, int(port)), timeout=1.0)
        conn.sendall(request("last"))
        for _ in range(turns):
            await anyio.lowlevel.checkpoint()
        embedded.server.stop_accepting()
        while embedded.server.has_sessions:
            embedded.server.end_idle()
            await anyio.sleep(0.01)
    with contextlib.closing(conn):
        try:
            return bool(conn.recv(1))
        except (ConnectionResetError, TimeoutError):
            return False


def has_ended(conn: KeptConnection) -> bool:
    """Return whether the caller can see that the host has ended the connection."""
    poller = select.poll()
    sock = conn._stream.extra(anyio.abc.SocketAttribute.raw_socket)
    poller.register(sock.fileno(), select.POLLIN)
    return bool(poller.poll(0))


async def is_answered(conn: KeptConnection, attempt: str) -> bool:
    try:
        await conn.send(request_bytes("/book/1", attempt, HOST_NAME, KEY))
    except anyio.BrokenResourceError:
        return False
    answer = await conn.answer()
    await conn.close()
    return answer is not None and answer.is_complete


async def run_half_of_the_time(harness: EntryHarness) -> None:
    """Suspend the process half of the time until cancelled."""
    with contextlib.suppress(ProcessLookupError):
        while True:
            harness.send_signal(signal.SIGSTOP)
            await anyio.sleep(SLICE_SECONDS)
            harness.send_signal(signal.SIGCONT)
            await anyio.sleep(SLICE_SECONDS)


async def call_until_gone(
    harness: EntryHarness, caller: int, losses: Losses, ends_at: float
) -> None:
    """Send one request after the other, each on a new connection."""
    number = 0
    while anyio.current_time() < ends_at:
        number += 1
        attempt = f"a{caller}-{number}"
        path = ("/draft/1", "/draft/1", "/book/1")[(caller + number) % 3]
        try:
            conn = await KeptConnection.connect(harness.caller_address)
            await conn.send(request_bytes(path, attempt, HOST_NAME, KEY))
        except (OSError, anyio.BrokenResourceError):
            await anyio.sleep(REFUSED_PAUSE_SECONDS)
            continue
        sent_at = anyio.current_time()
        answer = await conn.answer()
        if answer is None or not answer.is_complete:
            losses.unanswered[attempt] = anyio.current_time() - sent_at
        await conn.close()
        if answer is None or answer.status != 200:
            await anyio.sleep(REFUSED_PAUSE_SECONDS)


async def drain_at_half_a_core() -> Losses:
    """Stop a host whose callers go on until it is gone."""
    engines = tuple(StampedServer(f"engine-{n}", events=10) for n in (1, 2))
    for engine in engines:
        engine.event_gap = 0.1
    losses = Losses()
    async with (
        entry_harness(
            engines=engines, services=(stock(),), document=busy_document()
        ) as harness,
        anyio.create_task_group() as callers,
        anyio.create_task_group() as suspension,
    ):
        stop_at = anyio.current_time() + WARM_UP_SECONDS
        for caller in range(BUSY_CALLERS):
            callers.start_soon(
                call_until_gone, harness, caller, losses, stop_at + GRACE_SECONDS
            )
        suspension.start_soon(run_half_of_the_time, harness)
        await anyio.sleep_until(stop_at)
        losses.unanswered.clear()
        harness.send_signal(signal.SIGTERM)
        with anyio.move_on_at(stop_at + GRACE_SECONDS):
            losses.exit_code = await harness.process.wait()
        if losses.exit_code is None:
            harness.process.kill()
        suspension.cancel_scope.cancel()
    return losses


def send_slowly(address: str, head: bytes, size: int, seconds: float) -> bytes:
    """Send a whole request over ``seconds``, then return what was answered.

    A caller that can't send it to the end returns nothing.
    """
    host, _, port = address.rpartition(":")
    chunks = size // BODY_CHUNK_BYTES
    with socket.create_connection((host, int(port)), timeout=GRACE_SECONDS) as conn:
        try:
            conn.sendall(head)
            for _ in range(chunks):
                conn.sendall(b"x" * BODY_CHUNK_BYTES)
                time.sleep(seconds / chunks)
            conn.sendall(b"x" * (size % BODY_CHUNK_BYTES))
        except (BrokenPipeError, ConnectionResetError):
            return b""
        return conn.recv(BODY_CHUNK_BYTES)


def head_of(size: int, extra: bytes = b"") -> bytes:
    whole = request_bytes("/book/1", "long", HOST_NAME, KEY, b"x" * size)
    head, _, _ = whole.partition(b"\r\n\r\n")
    return head + b"\r\n" + extra + b"\r\n"


@async_test
async def test_request_that_waits_to_be_accepted_as_a_listener_closes_is_answered():
    """The kernel has accepted its connection, so the caller counts on an answer."""
    turns = range(TURNS_UNTIL_ACCEPTED)
    assert [turn for turn in turns if not await is_answered_after_stop(turn)] == []


@async_test
async def test_request_whose_session_begins_as_a_drain_ends_is_answered():
    """A connection counts as open from when it is accepted."""
    turns = range(TURNS_UNTIL_ACCEPTED, TURNS_UNTIL_SERVED)
    assert [turn for turn in turns if not await is_answered_after_stop(turn)] == []


@async_test
async def test_request_sent_before_the_end_of_an_idle_connection_is_answered():
    """It arrives when the host has read the last time, and well before its FIN."""
    lost: list[int] = []
    async with embedded_caller_server() as embedded:
        for turns in range(TURNS_UNTIL_SERVED):
            conn = await embedded.connect()
            embedded.server.end_idle()
            for _ in range(turns):
                await anyio.lowlevel.checkpoint()
            if has_ended(conn):
                break
            conn.send_now(request("late"))
            fall_behind()
            if await conn.answer() is None:
                lost.append(turns)
            await conn.close()
    assert lost == []


@async_test
async def test_requests_sent_to_a_suspended_host_as_its_listener_closes_are_answered():
    """They were sent well before it closes, and wait to be accepted."""
    answered: list[bool] = []

    async def call(attempt: str) -> None:
        conn = await KeptConnection.connect(harness.caller_address)
        answered.append(await is_answered(conn, attempt))

    async with (
        entry_harness(services=(stock(),)) as harness,
        anyio.create_task_group() as tasks,
    ):
        harness.send_signal(signal.SIGTERM)
        await harness.wait_for_event("drain_started")
        closes_at = anyio.current_time() + LISTENER_CLOSES_SECONDS
        await anyio.sleep_until(closes_at - SUSPENDED_SECONDS / 2)
        harness.send_signal(signal.SIGSTOP)
        # It must not learn of them from the poll that the signal interrupts.
        await anyio.sleep(STOP_SECONDS)
        for number in range(CONNECTIONS):
            tasks.start_soon(call, f"late-{number}")
        await anyio.sleep(SUSPENDED_SECONDS - STOP_SECONDS)
        harness.send_signal(signal.SIGCONT)
    assert answered == [True] * CONNECTIONS


@async_test
async def test_busy_host_at_half_a_core_leaves_no_request_unanswered_when_it_stops():
    """Callers go on sending until it is gone, and it has to end by itself."""
    losses = await drain_at_half_a_core()
    late = [lag for lag in losses.unanswered.values() if lag > LOSS_SLACK_SECONDS]
    assert (losses.exit_code, len(late)) == (0, 0)


@async_test
async def test_first_request_of_a_connection_that_a_drain_just_accepted_is_answered():
    """It is on its way, which doesn't make the connection idle."""
    async with embedded_caller_server() as embedded:
        conn = await KeptConnection.connect(embedded.ctx.settings.caller_address)
        await embedded.wait_until_idle()
        embedded.server.end_idle()
        await anyio.sleep(0.02)
        answered = await is_answered(conn, "first")
    assert answered


@async_test
async def test_refused_caller_can_send_its_body_to_the_end():
    """Some callers read no answer before they have sent the whole request."""
    async with entry_harness(services=(stock(),)) as harness:

        async def answer_to(size: int, extra: bytes = b"") -> bytes:
            return await anyio.to_thread.run_sync(
                send_slowly, harness.caller_address, head_of(size, extra), size, 1.5
            )

        long_header = b"Long: " + b"x" * 9000 + b"\r\n"
        answers = [await answer_to(110_000, long_header), await answer_to(300_000)]
    assert [answer[:12] for answer in answers] == [b"HTTP/1.1 431", b"HTTP/1.1 413"]


@async_test
async def test_large_answer_reaches_a_caller_that_reads_it_late():
    """What doesn't fit into the buffers of the kernel waits for the caller."""
    large = StampedServer("stock-1", body=b"x" * LARGE_ANSWER_BYTES)
    async with entry_harness(services=(large,)) as harness:
        host, _, port = harness.caller_address.rpartition(":")
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_WINDOW_BYTES)
        sock.connect((host, int(port)))
        conn = KeptConnection(await anyio.abc.SocketStream.from_socket(sock))
        await conn.send(request_bytes("/book/1", "large", HOST_NAME, KEY))
        await anyio.sleep(1.0)
        answer = await conn.answer()
        await conn.close()
    assert answer is not None
    assert answer.is_complete
    assert len(answer.body) == LARGE_ANSWER_BYTES


@async_test
async def test_stream_to_http_1_0_that_a_drain_completes_is_whole_after_the_end():
    """Its end is the end of the connection, which the process outlives no more."""
    engine = StampedServer("engine-1", events=10)
    engine.event_gap = 0.2
    async with entry_harness(engines=(engine,)) as harness:
        host, _, port = harness.caller_address.rpartition(":")
        sock = socket.create_connection((host, int(port)), timeout=GRACE_SECONDS)
        whole = request_bytes("/draft/1", "old", HOST_NAME, KEY)
        sock.sendall(whole.replace(b"HTTP/1.1", b"HTTP/1.0"))
        await anyio.sleep(0.3)
        harness.send_signal(signal.SIGTERM)
        await harness.process.wait()
    with contextlib.closing(sock):
        received = b""
        while data := sock.recv(BODY_CHUNK_BYTES):
            received += data
    assert received.count(b"data: ") == engine.events
