from __future__ import annotations

import contextlib
import signal
import socket
from unittest import mock

import anyio

from knapweeddrum.http.server_connection import ServerConnection
from knapweeddrum.process.entry.caller_session import CallerSession
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.request_job import RequestJob
from knapweeddrum.process.entry.request_parts import RequestParts
from tests.async_test import async_test
from tests.process.entry.embedded_caller_server import (
    EmbeddedCallerServer,
    embedded_caller_server,
    request,
)
from tests.process.entry.entry_harness import (
    HOST_NAME,
    KEY,
    EntryHarness,
    configuration,
    entry_harness,
    route,
)
from tests.process.entry.kept_connection import (
    KeptAnswer,
    KeptConnection,
    request_bytes,
)
from tests.process.entry.planned_stop import PlannedStop, SentSignal, StopPlan
from tests.standins.stamped_server import Behaviour, StampedServer

BODY_PIECES = 30
PIECE_BYTES = 6_000
"""Bytes of a piece; all of them are more than the harness's hosts take."""
PIECE_SECONDS = 0.1
REFUSAL_SECONDS = 1.0
"""Time within which a request that came shortly before refusals begin is refused."""
ANSWER_SECONDS = 5.0
FIRST_REQUEST_SECONDS = 0.05
"""Time between a connection and its first request, as on a slow path."""
READ_BYTES = 65_536


@async_test
async def test_stop_of_a_busy_host_with_half_a_core_answers_what_it_has_read():
    """Callers go on sending until its end; nothing waits for an answer in vain."""
    stop = PlannedStop(
        StopPlan((SentSignal(0.0, signal.SIGTERM),), callers=80, half_core=True), 1
    )
    assert await stop.play() == []
    assert stop.ended_late == []
    assert not stop.is_killed


@async_test
async def test_connections_not_yet_accepted_when_a_host_stops_listening_are_served():
    """A host that is behind finds them in its accept queue at that moment."""
    async with embedded_caller_server() as embedded:
        conns = [_connect_and_send(embedded, f"a{number}") for number in range(20)]
        embedded.server.stop_accepting()
        with anyio.fail_after(ANSWER_SECONDS):
            while embedded.server.has_sessions:
                embedded.server.end_idle()
                await anyio.sleep(0.01)
        answers = [_received(conn) for conn in conns]
    assert all(answer.startswith(b"HTTP/1.1 503 ") for answer in answers), answers


@async_test
async def test_request_without_an_answer_at_the_end_of_a_drain_gets_a_refusal():
    """Its endpoint is at work for longer than the host may live."""
    server = _stock()
    server.plan = [Behaviour.HANG]
    async with entry_harness(services=(server,), document=_patient()) as harness:
        harness.send_signal(signal.SIGTERM)
        await anyio.sleep(1.0)
        conn = await KeptConnection.connect(harness.caller_address)
        await conn.send(_patient_request("a1"))
        answer = await conn.answer()
    assert len(server.runs) == 1
    assert answer is not None
    assert answer.status == 502


@async_test
async def test_first_request_of_a_new_connection_is_answered_while_its_host_drains():
    """The connection is open some milliseconds before its request comes."""
    async with embedded_caller_server() as embedded:
        conn = await KeptConnection.connect(embedded.ctx.settings.caller_address)
        while not embedded.server.has_sessions:
            await anyio.sleep(0.001)
        embedded.server.end_idle()
        await anyio.sleep(FIRST_REQUEST_SECONDS)
        await conn.send(request("a1"))
        answer = await conn.answer()
    assert answer is not None
    assert answer.status == 503


@async_test
async def test_body_that_comes_in_while_its_host_drains_is_refused_at_once():
    """The host would end before the request could: its caller learns so in time."""
    async with entry_harness(services=(_stock(),), document=_patient()) as harness:
        harness.send_signal(signal.SIGTERM)
        await anyio.sleep(2.0)
        conn = await _begin_body(harness, "/book/1")
        answer: KeptAnswer | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_send_pieces, conn)
            answer = await conn.answer(REFUSAL_SECONDS)
            tasks.cancel_scope.cancel()
    assert answer is not None
    assert answer.status == 503


@async_test
async def test_body_that_is_not_whole_at_the_end_of_a_drain_is_refused():
    """One that was begun early in the drain, too."""
    async with entry_harness(services=(_stock(),)) as harness:
        harness.send_signal(signal.SIGTERM)
        await anyio.sleep(1.0)
        conn = await _begin_body(harness, "/book/1")
        answer = await conn.answer(6.0)
    assert answer is not None
    assert answer.status == 503


@async_test
async def test_caller_that_reads_only_after_its_body_is_sent_gets_the_refusal():
    """A close must not reset the connection while the body still comes in."""
    async with entry_harness(services=(_stock(),)) as harness:
        conn = await _begin_body(harness, "/book/1")
        await _send_pieces(conn)
        answer = await conn.answer()
    assert answer is not None
    assert answer.status == 413


class LateHandler:
    """Has an answer when it is told so."""

    arrived: anyio.Event
    waiting: anyio.Event

    def __init__(
        self,
        _ctx: EntryContext,
        _parts: RequestParts,
        conn: ServerConnection,
        job: RequestJob,
    ) -> None:
        self._conn = conn
        job.sends = 1
        self.spent = 0

    async def handle(self) -> None:
        self.waiting.set()
        await self.arrived.wait()
        await self._conn.send_reply(200, [], b"booked")


@async_test
async def test_answer_that_arrives_as_the_drain_gives_it_up_is_not_lost():
    """Its handler goes on for one turn, and is cancelled as it sends what it has."""
    LateHandler.arrived = anyio.Event()
    LateHandler.waiting = anyio.Event()
    name = f"{CallerSession.__module__}.RequestHandler"
    with mock.patch(name, LateHandler):
        async with embedded_caller_server() as embedded:
            conn = await KeptConnection.connect(embedded.ctx.settings.caller_address)
            await conn.send(request("a1"))
            await LateHandler.waiting.wait()
            LateHandler.arrived.set()
            embedded.server.give_up_requests()
            answer = await conn.answer(ANSWER_SECONDS)
    assert answer is not None
    assert answer.status == 502


def _stock() -> StampedServer:
    return StampedServer("stock-1", body=b"booked")


def _patient() -> dict[str, object]:
    """Return a configuration with a time limit longer than the grace period."""
    book = route("book", "/book/", "unsafe", "stock", timeoutMs=20_000)
    return configuration(routes=[book])


def _patient_request(attempt: str) -> bytes:
    sent = request_bytes("/book/1", attempt, HOST_NAME, KEY)
    return sent.replace(b"Deadline-Ms: 4000", b"Deadline-Ms: 20000")


def _connect_and_send(embedded: EmbeddedCallerServer, attempt: str) -> socket.socket:
    """Send a request on a new connection without a turn of the event loop."""
    host, _, port = embedded.ctx.settings.caller_address.rpartition(":")
    sock = socket.create_connection((host, int(port)))
    sock.sendall(request(attempt))
    return sock


def _received(sock: socket.socket) -> bytes:
    """Return what has been received, empty if the connection was reset."""
    with sock, contextlib.suppress(ConnectionError):
        return sock.recv(READ_BYTES)
    return b""


async def _begin_body(harness: EntryHarness, path: str) -> KeptConnection:
    """Send the head of a request and the first piece of its body."""
    conn = await KeptConnection.connect(harness.caller_address)
    body = bytes(BODY_PIECES * PIECE_BYTES)
    whole = request_bytes(path, "a1", HOST_NAME, KEY, body)
    patient = whole.replace(b"Deadline-Ms: 4000", b"Deadline-Ms: 20000")
    await conn.send(patient[: -(BODY_PIECES - 1) * PIECE_BYTES])
    return conn


async def _send_pieces(conn: KeptConnection) -> None:
    """Send the rest of the body, one piece after the other."""
    for _ in range(BODY_PIECES - 1):
        await anyio.sleep(PIECE_SECONDS)
        await conn.send(bytes(PIECE_BYTES))
