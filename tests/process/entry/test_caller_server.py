from __future__ import annotations

import contextlib
import dataclasses
import socket
import time
from collections.abc import AsyncIterator

import anyio

from knapweeddrum.http.server_connection import ReceivedRequest, ServerConnection
from tests.async_test import async_test
from tests.standins.tcp_serving import serving

MAX_HEAD_BYTES = 4096
IDLE_TIMEOUT_SECONDS = 5.0
REQUEST = b"GET /read/1 HTTP/1.1\r\nHost: desk.example\r\n\r\n"
LOOPBACK_SECONDS = 0.05
"""Time in which bytes reach the other end of a loopback connection."""


@dataclasses.dataclass(slots=True)
class WaitingConnection:
    """A kept connection that waits for a request, and its caller's socket."""

    caller: socket.socket
    conn: ServerConnection
    received: list[ReceivedRequest | None]
    done: anyio.Event

    def send_while_the_event_loop_is_busy(self, data: bytes) -> None:
        self.caller.sendall(data)
        time.sleep(LOOPBACK_SECONDS)


@contextlib.asynccontextmanager
async def waiting_connection(
    idle_timeout: float = IDLE_TIMEOUT_SECONDS,
) -> AsyncIterator[WaitingConnection]:
    """Open a connection on which ServerConnection waits for the first request."""
    accepted: list[ServerConnection] = []
    received: list[ReceivedRequest | None] = []
    done = anyio.Event()

    async def serve(stream: anyio.abc.SocketStream) -> None:
        conn = ServerConnection(stream, MAX_HEAD_BYTES)
        accepted.append(conn)
        received.append(await conn.next_request(idle_timeout, IDLE_TIMEOUT_SECONDS))
        if received[0] is not None:
            await conn.send_reply(200, [], b"answer")
        done.set()
        await conn.close()

    async with serving(serve) as address:
        host, _, port = address.rpartition(":")
        with socket.create_connection((host, int(port))) as caller:
            while not accepted or not accepted[0].is_waiting:
                await anyio.sleep(0.01)
            yield WaitingConnection(caller, accepted[0], received, done)


@async_test
async def test_request_that_arrives_before_a_drain_ends_its_connection_is_answered():
    """The end of an idle connection comes after all that was received on it."""
    async with waiting_connection() as waiting:
        waiting.send_while_the_event_loop_is_busy(REQUEST)
        assert waiting.conn.is_waiting
        waiting.conn.stop_reading()
        await waiting.done.wait()
        assert waiting.received[0] is not None
        answer = await anyio.to_thread.run_sync(waiting.caller.recv, 4096)
        assert answer.startswith(b"HTTP/1.1 200 ")
        assert b"connection: close" in answer.lower()


@async_test
async def test_request_that_was_read_before_a_drain_ends_its_connection_is_answered():
    """The transport has read the request, the task has not run since."""
    async with waiting_connection() as waiting:
        reader = waiting.conn._stream._protocol  # type: ignore[attr-defined]
        waiting.send_while_the_event_loop_is_busy(REQUEST)
        while not reader.read_queue:
            waiting.conn._stream._transport._read_ready()  # type: ignore[attr-defined]
        assert waiting.conn.is_waiting
        waiting.conn.stop_reading()
        await waiting.done.wait()
        assert waiting.received[0] is not None


@async_test
async def test_idle_connection_ends_with_the_drain():
    """Its caller sees the end of the connection, and no answer."""
    async with waiting_connection() as waiting:
        waiting.conn.stop_reading()
        await waiting.done.wait()
        assert waiting.received == [None]
        assert await anyio.to_thread.run_sync(waiting.caller.recv, 4096) == b""


@async_test
async def test_request_that_was_read_as_the_idle_timeout_ended_is_answered():
    """The timeout of an idle connection drops nothing that was received."""
    async with waiting_connection(idle_timeout=0.2) as waiting:
        reader = waiting.conn._stream._protocol  # type: ignore[attr-defined]
        time.sleep(0.3)
        waiting.send_while_the_event_loop_is_busy(REQUEST)
        while not reader.read_queue:
            waiting.conn._stream._transport._read_ready()  # type: ignore[attr-defined]
        await waiting.done.wait()
        assert waiting.received[0] is not None


@async_test
async def test_connection_that_gets_a_request_while_others_are_closed_stays_open():
    """Its caller would lose the answer of a request that was sent on."""
    async with waiting_connection() as first, waiting_connection() as second:
        first.conn.stop_reading()
        second.send_while_the_event_loop_is_busy(REQUEST)
        second.conn.stop_reading()
        await first.done.wait()
        await second.done.wait()
        assert [first.received[0] is None, second.received[0] is None] == [True, False]
