from __future__ import annotations

from knapweeddrum.http.exceptions import NoReplyError, NotSentError
from knapweeddrum.http.exchange_client import ExchangeClient
from knapweeddrum.http.request import Request
from tests.assertions import raises
from tests.async_test import async_test
from tests.standins.raw_server import RESET, RawServer, json_reply

TIMEOUT_SECONDS = 10.0
SHORT_TIMEOUT_SECONDS = 0.05
BODY_LIMIT_BYTES = 1000

WRITE = Request(method="POST", path="/write", body=b"payload")
REUSED_WRITE = Request(method="POST", path="/write", body=b"payload", reuse=True)


async def send(client: ExchangeClient, req: Request) -> bytes:
    return (await client.exchange(req, TIMEOUT_SECONDS, BODY_LIMIT_BYTES)).body


@async_test
async def test_refused_connection_sends_nothing():
    """A request that can't connect raises NotSentError."""
    async with RawServer([]).serve() as url:
        pass
    async with ExchangeClient.connect(url) as client:
        with raises(NotSentError):
            await send(client, WRITE)


@async_test
async def test_request_on_a_reset_connection_is_not_retried():
    """A reset of a reused connection raises NoReplyError without a second attempt."""
    server = RawServer([json_reply(b"1"), RESET, json_reply(b"3")])
    async with server.serve() as url, ExchangeClient.connect(url) as client:
        assert await send(client, REUSED_WRITE) == b"1"
        with raises(NoReplyError):
            await send(client, REUSED_WRITE)
        assert (server.requests, server.connections) == (2, 1)
        assert await send(client, REUSED_WRITE) == b"3"
    assert (server.requests, server.connections) == (3, 2)


@async_test
async def test_idle_connection_that_was_reset_is_replaced():
    """A reset idle connection is replaced; the request is sent a single time."""
    replies = [json_reply(b"1"), json_reply(b"2")]
    server = RawServer(replies, hang_up=True)
    async with server.serve() as url, ExchangeClient.connect(url) as client:
        assert await send(client, REUSED_WRITE) == b"1"
        await server.hung_up.wait()
        assert await send(client, REUSED_WRITE) == b"2"
    assert (server.requests, server.connections) == (2, 2)


@async_test
async def test_request_without_reuse_gets_a_new_connection():
    """Without ``reuse`` a request gets a new connection, as idle ones may be closed."""
    server = RawServer([json_reply(b"1"), json_reply(b"2"), RESET], hang_up=True)
    async with server.serve() as url, ExchangeClient.connect(url) as client:
        assert await send(client, WRITE) == b"1"
        assert await send(client, WRITE) == b"2"
        with raises(NoReplyError):
            await send(client, WRITE)
    assert (server.requests, server.connections) == (3, 3)


@async_test
async def test_connection_is_not_reused_after_an_oversized_reply():
    """After a reply body above the limit, the next request gets a new connection."""
    large = json_reply(b"x" * (BODY_LIMIT_BYTES + 1))
    server = RawServer([large, json_reply(b"2")])
    async with server.serve() as url, ExchangeClient.connect(url) as client:
        with raises(NoReplyError):
            await send(client, REUSED_WRITE)
        assert await send(client, REUSED_WRITE) == b"2"
    assert (server.requests, server.connections) == (2, 2)


@async_test
async def test_truncated_body_is_no_reply():
    """A body shorter than its Content-Length raises NoReplyError."""
    server = RawServer([json_reply(b"12345")[:-2]], hang_up=True)
    async with server.serve() as url, ExchangeClient.connect(url) as client:
        with raises(NoReplyError):
            await send(client, WRITE)


@async_test
async def test_timeout_after_sending_is_no_reply():
    """A timeout after the request was sent raises NoReplyError."""
    server = RawServer([json_reply(b"12345")[:-2]])
    async with server.serve() as url, ExchangeClient.connect(url) as client:
        with raises(NoReplyError):
            await client.exchange(WRITE, SHORT_TIMEOUT_SECONDS, BODY_LIMIT_BYTES)
    assert server.requests == 1


@async_test
async def test_malformed_request_is_not_sent():
    """A method, path or header that HTTP doesn't allow raises NotSentError."""
    malformed = (
        Request(method="GET", path="/a b"),
        Request(method="GET", path="/\u00e9"),
        Request(method="GET", path="a"),
        Request(method="G\u00e9T", path="/"),
        Request(method="GET", path="/", headers=(("X", "1\r\nY: 2"),)),
        Request(method="GET", path="/", headers=(("X", "\u20ac"),)),
    )
    server = RawServer([])
    async with server.serve() as url, ExchangeClient.connect(url) as client:
        for req in malformed:
            with raises(NotSentError):
                await send(client, req)
    assert server.requests == 0
