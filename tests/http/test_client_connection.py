from __future__ import annotations

import functools
import time
import unittest

import anyio
import anyio.abc

from knapweeddrum.http.client_connection import ClientConnection
from knapweeddrum.http.connection_pool import ConnectionPool, Opener
from knapweeddrum.http.event_splitter import EventSplitter
from knapweeddrum.http.exceptions import (
    ConnectionLimitError,
    EndlessReplyError,
    MalformedReplyError,
    NoReplyError,
    NotSentError,
)
from tests.async_test import async_test
from tests.standins.raw_server import RESET, RawServer

CASE = unittest.TestCase()
HEADERS = [(b"Host", b"a")]
OK_REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def address(url: str) -> str:
    return url.removeprefix("http://")


async def body_of(conn: ClientConnection) -> bytes:
    async with conn.exchange(b"GET", b"/", HEADERS, b""):
        return await conn.read_body(1000)


def opener(server: str) -> Opener:
    """Return what opens connections to ``IP:port``."""
    return functools.partial(ClientConnection.connect, server, 1.0)


@async_test
async def test_connection_is_reusable_after_a_complete_reply():
    """After a reply with a length or in chunks, the connection can be reused."""
    chunked = (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
    )
    async with RawServer([OK_REPLY, chunked, OK_REPLY]).serve() as url:
        conn = await ClientConnection.connect(address(url), 1.0)
        for _ in range(3):
            assert await body_of(conn) == b"ok"
            assert conn.finish()
        await conn.close()


@async_test
async def test_truncated_replies_raise_errors():
    """A truncated body, a reset and bytes that are not HTTP raise errors."""
    cases = (
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", NoReplyError),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
            NoReplyError,
        ),
        (RESET, NoReplyError),
        (b"no answer at all\r\n\r\n", MalformedReplyError),
    )
    for reply, error in cases:
        async with RawServer([reply], hang_up=True).serve() as url:
            conn = await ClientConnection.connect(address(url), 1.0)
            with CASE.assertRaises(error):
                await body_of(conn)
            assert not conn.finish()
            await conn.close()


@async_test
async def test_data_received_together_comes_before_what_follows_it():
    """Chunks received at once are returned at once, then the end or the error."""
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    chunks = b"2\r\nok\r\n3\r\nyes\r\n"
    cases = (
        (b"0\r\n\r\n", None),
        (b"no size\r\n", MalformedReplyError),
        (b"1" * 100_000, EndlessReplyError),
    )
    for rest, error in cases:
        async with RawServer([head + chunks + rest]).serve() as url:
            conn = await ClientConnection.connect(address(url), 1.0)
            async with conn.exchange(b"GET", b"/", HEADERS, b""):
                assert await conn.next_data() == b"okyes"
                if error is None:
                    assert not conn.finish()
                    assert await conn.next_data() is None
                else:
                    with CASE.assertRaises(error):
                        await conn.next_data()
            assert conn.finish() is (error is None)
            await conn.close()


@async_test
async def test_connection_with_bytes_after_a_reply_is_not_reused():
    """A connection that received bytes after a reply is not reused."""
    async with RawServer([OK_REPLY + b"extra"]).serve() as url:
        pool = ConnectionPool(lambda _: None)
        conn = await pool.acquire("a", 2, opener(address(url)))
        await body_of(conn)
        await pool.release("a", conn)
        assert pool.idle_keys() == frozenset()


@async_test
async def test_closed_idle_connection_is_replaced_before_a_request():
    """A connection that the server closed while idle is replaced before a request."""
    server = RawServer([OK_REPLY, OK_REPLY], hang_up=True)
    async with server.serve() as url:
        opened: list[str] = []
        pool = ConnectionPool(opened.append)
        for _ in range(2):
            conn = await pool.acquire("a", 2, opener(address(url)))
            assert await body_of(conn) == b"ok"
            await pool.release("a", conn)
            await anyio.sleep(0.05)
        assert opened == ["a", "a"]
        await pool.close()


@async_test
async def test_connection_is_not_reused_near_the_servers_idle_timeout():
    """A connection is not reused shortly before the server's idle timeout ends."""
    reply = OK_REPLY.replace(b"\r\n\r\n", b"\r\nKeep-Alive: timeout=2\r\n\r\n")
    async with RawServer([reply]).serve() as url:
        conn = await ClientConnection.connect(address(url), 1.0)
        await body_of(conn)
        assert conn.finish()
        assert conn.is_usable(time.monotonic() + 1.0)
        assert not conn.is_usable(time.monotonic() + 1.5)
        await conn.close()


@async_test
async def test_pool_limits_connections_and_separates_incarnations():
    """The limit holds per key; another incarnation reuses no connection."""
    async with RawServer([OK_REPLY] * 4).serve() as url:
        pool = ConnectionPool(lambda _: None)
        first = await pool.acquire("a/1", 1, opener(address(url)))
        with CASE.assertRaises(ConnectionLimitError):
            await pool.acquire("a/1", 1, opener(address(url)))
        await body_of(first)
        await pool.release("a/1", first)
        other = await pool.acquire("a/2", 1, opener(address(url)))
        assert other is not first
        await pool.sweep(["a/2"], time.monotonic())
        assert pool.idle_keys() == frozenset()
        await pool.release("a/2", other)
        assert pool.open_count() == 0
    with CASE.assertRaises(NotSentError):
        await pool.acquire("b", 1, opener("127.0.0.1:1"))
    assert pool.open_count() == 0


@async_test
async def test_early_reply_does_not_wait_for_the_request_to_be_read():
    """A reply sent before the request is read arrives; the connection is not reused."""

    async def reply_early(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            await stream.receive(100)
            await stream.send(OK_REPLY)
            await anyio.sleep_forever()

    async with (
        await anyio.create_tcp_listener(local_host="127.0.0.1") as listener,
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(listener.serve, reply_early)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        conn = await ClientConnection.connect(f"127.0.0.1:{port}", 1.0)
        body = b"x" * 20_000_000
        sized = [*HEADERS, (b"Content-Length", str(len(body)).encode())]
        async with conn.exchange(b"POST", b"/", sized, body):
            assert await conn.read_body(10) == b"ok"
        assert not conn.finish()
        await conn.close()
        tasks.cancel_scope.cancel()


def test_splitter_returns_complete_events_and_the_last_id():
    """Bytes of an incomplete event are held back."""
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    assert (splitter.last_id, splitter.event_count) == ("1", 1)
    assert splitter.rest == b"id: 2\nda"
    splitter.reset()
    assert splitter.feed(b"id: 2\ndata: b\n") == b""
    assert splitter.feed(b"\n") == b"id: 2\ndata: b\n\n"
    assert (splitter.last_id, splitter.event_count) == ("2", 2)


@async_test
async def test_address_with_a_port_beyond_the_last_is_not_connected_to():
    """It is an error of the address like any other, not one that ends a task."""
    with CASE.assertRaises(NotSentError):
        await ClientConnection.connect("127.0.0.1:70000", 1.0)


@async_test
async def test_idle_timeout_of_thousands_of_digits_is_ignored():
    """Python refuses to read such a number."""
    timeout = b"\r\nKeep-Alive: timeout=" + b"9" * 5_000
    reply = OK_REPLY.replace(b"\r\n\r\n", timeout + b"\r\n\r\n")
    async with RawServer([reply]).serve() as url:
        conn = await ClientConnection.connect(address(url), 1.0)
        assert await body_of(conn) == b"ok"
        await conn.close()
