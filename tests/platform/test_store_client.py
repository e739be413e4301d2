from __future__ import annotations

import contextlib
import json
import struct
import unittest
from collections.abc import AsyncIterator

import anyio
import anyio.abc

from knapweeddrum.http.connection_pool import ConnectionPool
from knapweeddrum.http.server_connection import ServerConnection
from knapweeddrum.platform.exceptions import (
    AppendUnknownError,
    ConditionFailedError,
    LogUnavailableError,
    RecordsExpiredError,
    StoreReturnedError,
)
from knapweeddrum.platform.keyed_record import KeyedRecord
from knapweeddrum.platform.store_call import StoreCall
from knapweeddrum.platform.store_client import StoreClient
from tests.async_test import async_test
from tests.standins.network_link import Cut, NetworkLink
from tests.standins.platform_store import PlatformStore
from tests.standins.tcp_serving import serving

CASE = unittest.TestCase()
RECORDS = [KeyedRecord("k", b"v")]


@contextlib.asynccontextmanager
async def connected(store: PlatformStore) -> AsyncIterator[StoreClient]:
    async with store.serve() as address:
        pool = ConnectionPool(lambda _: None)
        yield StoreClient(address, pool)
        await pool.close()


@async_test
async def test_append_and_read_by_offset():
    """Records are read in order; a read at the end waits for the next append."""
    store = PlatformStore()
    async with connected(store) as client:
        assert await client.append("keyed.x", RECORDS) == 1
        await client.append(
            "keyed.x", [KeyedRecord("k", None), *RECORDS], expected_end=1
        )
        page = await client.read("keyed.x", 1)
        assert [record.value for record in page.records] == [None, b"v"]
        assert page.complete
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(client.append, "keyed.x", RECORDS)
            page = await client.read("keyed.x", 3, wait=2.0)
        assert len(page.records) == 1
        listing = await client.list_newest("keyed.x")
        assert [(r.key, r.offset) for r in listing.records] == [("k", 3)]


@async_test
async def test_conditional_append_admits_one_of_two_writers():
    """Of two appends that expect the same end, the second writes nothing."""
    store = PlatformStore()
    async with connected(store) as client:
        await client.append("keyed.x", RECORDS, expected_end=0)
        with CASE.assertRaises(ConditionFailedError):
            await client.append("keyed.x", RECORDS, expected_end=0)
        assert store.stream("keyed.x").end == 1


@async_test
async def test_lost_reply_is_unknown_and_a_refusal_is_not():
    """AppendUnknownError is raised only if the store may have written the records."""
    store = PlatformStore()
    async with connected(store) as client:
        store.lose_replies = 1
        with CASE.assertRaises(AppendUnknownError):
            await client.append("keyed.x", RECORDS)
        assert store.stream("keyed.x").end == 1
        store.busy = True
        with CASE.assertRaises(LogUnavailableError):
            await client.append("keyed.x", RECORDS)
        with CASE.assertRaises(LogUnavailableError):
            await client.list_newest("keyed.x")
        store.busy, store.unresponsive = False, True
        with CASE.assertRaises(AppendUnknownError):
            await client.append("keyed.x", RECORDS)
        with CASE.assertRaises(LogUnavailableError):
            await client.read("keyed.x", 0)


@async_test
async def test_expired_records_and_unreachable_store_raise_errors():
    """Reads of expired records and appends without a connection raise errors."""
    store = PlatformStore()
    async with connected(store) as client:
        await client.append("keyed.x", RECORDS)
        store.stream("keyed.x").expire_records()
        with CASE.assertRaises(RecordsExpiredError):
            await client.read("keyed.x", 0)
    pool = ConnectionPool(lambda _: None)
    client = StoreClient("127.0.0.1:1", pool)
    with CASE.assertRaises(LogUnavailableError):
        await client.append("keyed.x", RECORDS)


@async_test
async def test_positions_of_an_earlier_era_are_refused():
    """After a return neither a read nor a condition of before means anything."""
    store = PlatformStore()
    store.era = 1
    async with connected(store) as client:
        seen: list[tuple[int, int]] = []
        client.era.on_return = lambda before, era: seen.append((before, era))
        end = await client.append("keyed.x", RECORDS)
        await store.return_from_copy(0.0, 0.0)
        with CASE.assertRaises(StoreReturnedError):
            await client.read("keyed.x", end)
        with CASE.assertRaises(StoreReturnedError):
            await client.append("keyed.x", RECORDS, expected_end=end)
        listing = await client.list_newest("keyed.x")
        assert listing.next_offset > end
        assert seen == [(2, 3)]


@async_test
async def test_condition_that_a_later_era_met_by_chance_is_no_success():
    """The writer knew other records at that offset."""
    store = PlatformStore()
    store.era = 1
    async with connected(store) as client:
        end = await client.append("keyed.x", RECORDS)
        await store.return_from_copy(0.0, 0.0)
        with CASE.assertRaises(AppendUnknownError):
            await client.append("keyed.x", RECORDS, expected_end=end)


@async_test
async def test_answers_without_a_credible_era_are_not_believed():
    """An era that is missing, falls or is no number is doubted, and said so."""
    store = PlatformStore()
    store.era = 5
    async with connected(store) as client:
        doubts: list[str] = []
        client.on_era_doubt = doubts.append
        await client.append("keyed.x", RECORDS)
        for era in (None, 4, "x", "-1", "1" * 9):
            store.era = era  # type: ignore[assignment]
            with CASE.assertRaises(LogUnavailableError):
                await client.list_newest("keyed.x")
            with CASE.assertRaises(AppendUnknownError):
                await client.append("keyed.x", RECORDS)
        assert len(doubts) == 10


@async_test
async def test_listed_value_that_is_not_ascii_is_kept_for_its_codec_to_reject():
    """One value of another writer must not hide the others of the listing."""
    listing = {
        "items": [
            {"key": "a", "value": "\u00e9", "offset": 0},
            {"key": "b", "value": "MQ==", "offset": 1},
        ],
        "end": 2,
    }
    async with answering_store(json.dumps(listing).encode()) as client:
        records = (await client.list_newest("keyed.x")).records
    assert [record.key for record in records] == ["a", "b"]
    assert records[1].value == b"1"


@async_test
async def test_listing_with_offsets_that_no_stream_has_is_a_failed_call():
    """They would be taken for positions of another era."""
    for offset, end in ((2**50, 2), (-1, 2), (0, -1), (0, 2**50)):
        listing = {"items": [{"key": "a", "value": "", "offset": offset}], "end": end}
        async with answering_store(json.dumps(listing).encode()) as client:
            with CASE.assertRaises(LogUnavailableError):
                await client.list_newest("keyed.x")


@async_test
async def test_page_with_offsets_that_no_stream_has_is_a_failed_call():
    """The next read would begin in another era."""
    for end, first in ((2**50, 0), (3, 2**50)):
        page = struct.pack(">QQ", end, first)
        async with answering_store(page) as client:
            with CASE.assertRaises(LogUnavailableError):
                await client.read("keyed.x", 0)


@contextlib.asynccontextmanager
async def answering_store(body: bytes) -> AsyncIterator[StoreClient]:
    """Yield the client of a store that gives the same answer to each call."""

    async def answer(stream: anyio.abc.SocketStream) -> None:
        conn = ServerConnection(stream, 16_384)
        await conn.next_request(5.0, 5.0)
        await conn.send_reply(200, [], body)
        await conn.close()

    async with serving(answer) as address:
        pool = ConnectionPool(lambda _: None)
        yield StoreClient(address, pool)
        await pool.close()


@async_test
async def test_append_that_came_too_late_tells_where_the_stream_ends():
    """The writer can try again without another read."""
    store = PlatformStore()
    async with connected(store) as client:
        await client.append("keyed.x", RECORDS, expected_end=0)
        with CASE.assertRaises(ConditionFailedError) as caught:
            await client.append("keyed.x", RECORDS, expected_end=0)
        assert caught.exception.end == 1


@async_test
async def test_failed_call_tells_how_far_its_answer_got():
    """A call without an answer and one whose answer was too long look alike else."""

    async def handle(stream: anyio.abc.SocketStream) -> None:
        await stream.receive()
        await stream.send(
            b"HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n" + b"x" * 900
        )
        await anyio.sleep_forever()

    calls: list[StoreCall] = []
    async with serving(handle) as address:
        pool = ConnectionPool(lambda _: None)
        client = StoreClient(address, pool)
        client.on_call = calls.append
        with CASE.assertRaises(LogUnavailableError):
            await client.read("keyed.x", 0)
        await pool.close()
    (call,) = calls
    assert (call.kind, call.stream, call.outcome) == ("read", "keyed.x", "cut")
    assert call.received == 900
    assert call.on_new_connection
    assert call.error


@async_test
async def test_append_that_could_not_connect_in_time_wrote_nothing():
    """One whose outcome is unknown withholds the tokens that it may have claimed."""
    store = PlatformStore()
    async with store.serve() as address:
        link = NetworkLink(address)
        async with link.serve():
            link.cut(Cut.SILENT)
            pool = ConnectionPool(lambda _: None)
            with CASE.assertRaises(LogUnavailableError):
                await StoreClient(link.address, pool).append("keyed.x", RECORDS)
            await pool.close()
