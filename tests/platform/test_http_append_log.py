from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator
from unittest import mock

import anyio
from anyio.abc import SocketStream

from knapweeddrum.platform import http_append_log
from knapweeddrum.platform.exceptions import (
    AppendUnknownError,
    LogUnavailableError,
    RecordsExpiredError,
)
from knapweeddrum.platform.http_append_log import HttpAppendLog
from tests.assertions import raises
from tests.async_test import async_test
from tests.standins.append_log import AppendLogStandIn
from tests.standins.raw_server import RESET, RawServer, json_reply
from tests.standins.serving import serve
from tests.standins.tcp_serving import serving

STREAM = "budget-0"
LONG_WAIT_SECONDS = 50.0
SLOW_PART_SECONDS = 0.1


@contextlib.asynccontextmanager
async def served_log() -> AsyncIterator[tuple[AppendLogStandIn, HttpAppendLog]]:
    app = AppendLogStandIn()
    async with serve(app) as url, HttpAppendLog.connect(url) as log:
        yield app, log


async def payloads(log: HttpAppendLog, start: int = 0) -> list[bytes]:
    page = await log.read(STREAM, start, 100, 0.0)
    return [record.payload for record in page.records]


@async_test
async def test_records_come_back_in_order():
    """Offsets count from 0 in each stream, and payloads are unchanged."""
    async with served_log() as (_, log):
        assert await log.append(STREAM, b"\x00\xff") == 0
        assert await log.append(STREAM, b"") == 1
        assert await log.append("other/stream", b"x") == 0
        assert await payloads(log) == [b"\x00\xff", b""]
        page = await log.read(STREAM, 1, 1, 0.0)
        assert (page.first, page.next, page.records[0].offset) == (0, 2, 1)


@async_test
async def test_append_with_a_lost_reply_is_unknown():
    """An append whose reply is lost raises AppendUnknownError; it wrote one record."""
    async with served_log() as (app, log):
        app.set_switches(lose_replies=1)
        with raises(AppendUnknownError):
            await log.append(STREAM, b"a")
        assert app.appends == 1
        assert await payloads(log) == [b"a"]


@async_test
async def test_outage_writes_nothing():
    """During an outage, append and read raise LogUnavailableError."""
    async with served_log() as (app, log):
        app.set_switches(outage=True)
        with raises(LogUnavailableError):
            await log.append(STREAM, b"a")
        with raises(LogUnavailableError):
            await log.read(STREAM, 0, 1, 0.0)
        app.set_switches(outage=False)
        assert await payloads(log) == []


@async_test
async def test_append_above_the_rate_limit_writes_nothing():
    """An append above the rate limit raises LogUnavailableError and writes nothing."""
    async with served_log() as (app, log):
        app.set_switches(appends_per_second=1e-6)
        await log.append(STREAM, b"a")
        with raises(LogUnavailableError):
            await log.append(STREAM, b"b")
        assert await payloads(log) == [b"a"]


@async_test
async def test_read_of_expired_records_names_the_oldest_offset():
    """A read of expired records raises RecordsExpiredError with the oldest offset."""
    async with served_log() as (app, log):
        for _ in range(5):
            await log.append(STREAM, b"a")
        app.set_switches(retention_records=2)
        with raises(RecordsExpiredError) as held:
            await payloads(log)
        assert held[0].first == 3
        assert await payloads(log, 3) == [b"a", b"a"]


@async_test
async def test_read_waits_for_a_record():
    """A read at the end of a stream returns a record appended while it waits."""
    async with served_log() as (_, log), anyio.create_task_group() as tasks:
        pages = []

        async def read() -> None:
            pages.append(await log.read(STREAM, 0, 10, LONG_WAIT_SECONDS))

        tasks.start_soon(read)
        await anyio.wait_all_tasks_blocked()
        await log.append(STREAM, b"a")
        while not pages:
            await anyio.sleep(0)
    assert [record.payload for record in pages[0].records] == [b"a"]


@async_test
async def test_lagging_read_hides_new_records():
    """A read does not return records younger than the log's read lag."""
    async with served_log() as (app, log):
        app.set_switches(read_lag_seconds=LONG_WAIT_SECONDS)
        await log.append(STREAM, b"a")
        assert await payloads(log) == []


@async_test
async def test_unreachable_log_writes_nothing():
    """An append that can't connect raises LogUnavailableError."""
    async with served_log() as (_, log):
        pass
    with raises(LogUnavailableError):
        await log.append(STREAM, b"a")


@async_test
async def test_append_on_a_reset_connection_is_sent_once():
    """An append whose connection is reset raises AppendUnknownError, not retried."""
    server = RawServer([json_reply(b'{"offset": 0}'), RESET])
    async with server.serve() as url, HttpAppendLog.connect(url) as log:
        assert await log.append(STREAM, b"a") == 0
        with raises(AppendUnknownError):
            await log.append(STREAM, b"b")
    assert server.requests == 2


@async_test
async def test_malformed_reply_to_an_append_is_unknown():
    """A reply with status 200 but no valid offset raises AppendUnknownError."""
    server = RawServer([json_reply(body) for body in (b"{", b'{"offset": -1}')])
    async with server.serve() as url, HttpAppendLog.connect(url) as log:
        for _ in range(2):
            with raises(AppendUnknownError):
                await log.append(STREAM, b"a")


@async_test
async def test_page_with_a_gap_is_rejected():
    """A page that skips an offset raises LogUnavailableError."""
    page = b'{"first":0,"next":3,"records":[{"offset":1,"time":1,"payload":""}]}'
    server = RawServer([json_reply(page)])
    async with server.serve() as url, HttpAppendLog.connect(url) as log:
        with raises(LogUnavailableError):
            await log.read(STREAM, 0, 10, 0.0)


@async_test
async def test_page_that_comes_in_slowly_is_not_begun_again():
    """The limit was for the whole page, so that a long one never came in."""
    body = b'{"first": 0, "next": 0, ' + b" " * 4000 + b'"records": []}'

    async def handle(stream: SocketStream) -> None:
        await stream.receive()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        await stream.send(head.encode())
        for start in range(0, len(body), 1000):
            await anyio.sleep(SLOW_PART_SECONDS)
            await stream.send(body[start : start + 1000])

    limit = mock.patch.object(
        http_append_log, "READ_TIMEOUT_SECONDS", 2 * SLOW_PART_SECONDS
    )
    with limit:
        async with (
            serving(handle) as address,
            HttpAppendLog.connect(f"http://{address}") as log,
        ):
            page = await log.read(STREAM, 0, 100, 0.0)
    assert page.next == 0
