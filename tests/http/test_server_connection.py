from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator, Callable

import anyio
import anyio.abc

from knapweeddrum.http.connection_room import ConnectionRoom, UnlimitedRoom
from knapweeddrum.http.exceptions import MalformedRequestError, PeerDisconnectedError
from knapweeddrum.http.server_connection import (
    MAX_READ_AHEAD_BYTES,
    MAX_RECEIVE_BYTES,
    ServerConnection,
)
from tests.async_test import async_test
from tests.standins.stamped_server import reset_when_closed

BODY_LIMIT_BYTES = 1000
RESET_SEEN_SECONDS = 0.05
"""Time in which a connection that was reset is known to be."""


@contextlib.asynccontextmanager
async def connected_pair(
    serve: Callable[[ServerConnection], object],
    room: ConnectionRoom | None = None,
) -> AsyncIterator[anyio.abc.SocketStream]:
    """Run ``serve`` on the server's end of a connection and yield the client's end."""

    async def connection(stream: anyio.abc.SocketStream) -> None:
        await serve(ServerConnection(stream, 500, room=room))

    async with (
        await anyio.create_tcp_listener(local_host="127.0.0.1") as listener,
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(listener.serve, connection)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with await anyio.connect_tcp("127.0.0.1", port) as stream:
            yield stream
        tasks.cancel_scope.cancel()


async def outcome_of(data: bytes) -> list[object]:
    """Send the bytes; return the request bodies, then the status of an error."""
    seen: list[object] = []
    done = anyio.Event()

    async def serve(conn: ServerConnection) -> None:
        try:
            while await conn.next_request(0.3, 0.3) is not None:
                seen.append(await conn.read_body(BODY_LIMIT_BYTES, 0.3))
                await conn.send_reply(200, [], b"")
                if not conn.finish():
                    break
        except MalformedRequestError as exc:
            seen.append(exc.status)
        except PeerDisconnectedError:
            seen.append("gone")
        done.set()
        await conn.abort()

    async with connected_pair(serve) as stream:
        await stream.send(data)
        await done.wait()
    return seen


@async_test
async def test_bodies_with_a_length_or_in_chunks_are_read_whole():
    """The bodies of two requests that arrive together are complete and in order."""
    first = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
    second = (
        b"POST /b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"2\r\nde\r\n1\r\nf\r\n0\r\n\r\n"
    )
    assert await outcome_of(first + second) == [b"abc", b"def"]


@async_test
async def test_request_hidden_in_a_body_stays_in_the_body():
    """Bytes within the Content-Length of a body are never read as a request."""
    hidden = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
    head = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % len(hidden)
    assert await outcome_of(head + hidden) == [hidden]


@async_test
async def test_ambiguous_or_broken_framing_is_refused():
    """Conflicting lengths, an invalid chunk or head give status 400 or 501."""
    for data in (
        (
            b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
            b"Content-Length: 4\r\n\r\nabcd"
        ),
        b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n",
        b"nonsense\r\n\r\n",
        b"POST /a HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
    ):
        (status,) = await outcome_of(data)
        assert status in (400, 501)


@async_test
async def test_limits_on_size_and_time():
    """A head or body that is too large or too late gives the matching status."""
    long_head = b"GET /a HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 600 + b"\r\n\r\n"
    assert await outcome_of(long_head) == [431]
    assert await outcome_of(long_head[:-50]) == [431]
    long_body = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n"
    assert await outcome_of(long_body + b"x" * 1001) == [413]
    assert await outcome_of(b"GET /a HTTP/1.1\r\nHo") == [408]
    late_body = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab"
    assert await outcome_of(late_body) == [408]
    assert await outcome_of(b"") == []


@async_test
async def test_expected_continue_is_answered_before_the_body():
    """A request that expects 100-continue gets status 100 before it sends its body."""

    async def serve(conn: ServerConnection) -> None:
        await conn.next_request(1.0, 1.0)
        body = await conn.read_body(BODY_LIMIT_BYTES, 1.0)
        await conn.send_reply(200, [], body)
        await conn.close()

    async with connected_pair(serve) as stream:
        await stream.send(
            b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
            b"Expect: 100-continue\r\n\r\n"
        )
        assert b" 100 " in await stream.receive()
        await stream.send(b"ok")
        assert b" 200 " in await stream.receive()


@async_test
async def test_aborted_reply_has_no_last_chunk():
    """An aborted chunked reply arrives without its last chunk."""

    async def serve(conn: ServerConnection) -> None:
        await conn.next_request(1.0, 1.0)
        await conn.read_body(BODY_LIMIT_BYTES, 1.0)
        await conn.start_reply(200, [])
        await conn.send_data(b"part")
        await conn.abort()

    received = b""
    async with connected_pair(serve) as stream:
        await stream.send(b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n")
        with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
            while True:
                received += await stream.receive()
    assert b"part" in received
    assert not received.endswith(b"0\r\n\r\n")


@async_test
async def test_peer_that_is_gone_before_the_reply_counts_as_disconnected():
    """The kernel's socket may be closed by then, which is no other error."""
    failures: list[BaseException] = []
    done = anyio.Event()

    async def serve(conn: ServerConnection) -> None:
        await conn.next_request(0.3, 0.3)
        await conn.wait_for_disconnect()
        await anyio.sleep(RESET_SEEN_SECONDS)
        try:
            await conn.start_reply(200, [])
        except Exception as exc:  # noqa: BLE001
            failures.append(exc)
        done.set()
        await conn.abort()

    async with connected_pair(serve) as stream:
        await stream.send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        reset_when_closed(stream)
        await anyio.aclose_forcefully(stream)
        await done.wait()
    assert [type(failure) for failure in failures] == [PeerDisconnectedError], failures


@async_test
async def test_requests_sent_ahead_are_read_only_as_far_as_the_bound():
    """Guards against a parser that gets another 64 KiB with each request it serves."""
    taken: list[int] = []
    request = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"

    class Room(UnlimitedRoom):
        held = 0

        def take(self, count: int) -> bool:
            self.held += count
            taken.append(self.held)
            return True

        def give_back(self, count: int) -> None:
            self.held -= count

    done = anyio.Event()

    async def serve(conn: ServerConnection) -> None:
        for _ in range(20):
            await conn.next_request(0.3, 0.3)
            await conn.read_body(BODY_LIMIT_BYTES, 0.3)
            with anyio.move_on_after(0.02):
                await conn.wait_for_disconnect()
            await conn.send_reply(200, [], b"")
            assert conn.finish()
        done.set()
        await conn.abort()

    async with connected_pair(serve, Room()) as stream:
        with contextlib.suppress(anyio.BrokenResourceError):
            await stream.send(request * 100_000)
        await done.wait()
    assert max(taken) <= MAX_READ_AHEAD_BYTES + 2 * MAX_RECEIVE_BYTES, max(taken)
