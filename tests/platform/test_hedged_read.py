"""Reads of the store whose answer is late, slow or cut."""

from __future__ import annotations

import contextlib
import time
from collections.abc import AsyncIterator, Awaitable, Callable

import anyio
from anyio.abc import SocketStream

from knapweeddrum.http.connection_pool import ConnectionPool
from knapweeddrum.platform.exceptions import AppendUnknownError, LogUnavailableError
from knapweeddrum.platform.keyed_record import KeyedRecord
from knapweeddrum.platform.record_codec import PAGE_HEADER, encode_records
from knapweeddrum.platform.store_client import (
    LATE_SECONDS,
    MAX_SILENCE_SECONDS,
    StoreClient,
)
from tests.assertions import raises
from tests.async_test import async_test
from tests.standins.tcp_serving import serving

RECORDS = [KeyedRecord("k", bytes([n]) * 500) for n in range(4)]
PAGE = PAGE_HEADER.pack(len(RECORDS), 0) + encode_records(RECORDS)
HEAD = f"HTTP/1.1 200 OK\r\nContent-Length: {len(PAGE)}\r\n\r\n".encode()

Answer = Callable[[SocketStream], Awaitable[None]]


class Questions:
    """Answers each connection's first question in turn, by number."""

    def __init__(self, *answers: Answer) -> None:
        self.count = 0
        self._answers = answers

    async def handle(self, stream: SocketStream) -> None:
        """Serve one connection until it is closed."""
        with contextlib.suppress(anyio.EndOfStream):
            while True:
                await stream.receive()
                answer = self._answers[min(self.count, len(self._answers) - 1)]
                self.count += 1
                await answer(stream)


@contextlib.asynccontextmanager
async def client_of(
    questions: Questions,
) -> AsyncIterator[tuple[StoreClient, ConnectionPool]]:
    async with serving(questions.handle) as address:
        pool = ConnectionPool(lambda _: None)
        yield StoreClient(address, pool), pool
        await pool.close()


async def answer_at_once(stream: SocketStream) -> None:
    await stream.send(HEAD + PAGE)


async def answer_nothing(_: SocketStream) -> None:
    await anyio.sleep_forever()


async def answer_slowly(stream: SocketStream) -> None:
    """Send an answer that takes twice as long as one that is in time."""
    await stream.send(HEAD)
    parts = 8
    size = -(-len(PAGE) // parts)
    for start in range(0, len(PAGE), size):
        await anyio.sleep(2 * LATE_SECONDS / parts)
        await stream.send(PAGE[start : start + size])


async def answer_in_part(stream: SocketStream) -> None:
    """Send two records and a half, and close the connection."""
    await stream.send(HEAD + PAGE[: len(PAGE) * 5 // 8])
    await stream.aclose()


async def answer_a_byte_at_a_time(stream: SocketStream) -> None:
    await stream.send(HEAD)
    for position in range(len(PAGE)):
        await anyio.sleep(0.5)
        await stream.send(PAGE[position : position + 1])


@async_test
async def test_answer_that_comes_in_slowly_is_asked_for_once():
    """It was given up after 0.9 s and asked for again from its first byte."""
    questions = Questions(answer_at_once, answer_slowly)
    late: list[float] = []
    async with client_of(questions) as (client, _):
        await client.read("keyed.x", 0)
        began_at = time.monotonic()
        page = await client.read("keyed.x", 0, 0.0, lambda: late.append(1.0))
        assert time.monotonic() - began_at > LATE_SECONDS
    assert page.records
    assert page.complete
    assert questions.count == 2
    assert len(late) == 1


@async_test
async def test_question_on_a_silent_connection_is_answered_on_another():
    """Also if the store dropped it, as while it was away."""
    questions = Questions(answer_at_once, answer_nothing, answer_at_once)
    async with client_of(questions) as (client, _):
        await client.read("keyed.x", 0)
        began_at = time.monotonic()
        page = await client.read("keyed.x", 0)
        assert time.monotonic() - began_at < LATE_SECONDS + 0.5
    assert page.complete
    assert questions.count == 3


@async_test
async def test_only_one_write_is_in_doubt_after_all_connections_went_silent():
    """Each further one on a connection as silent withheld its tokens too."""
    questions = Questions(*[answer_at_once] * 3, answer_nothing, answer_at_once)
    async with client_of(questions) as (client, pool):
        async with anyio.create_task_group() as tasks:
            for _ in range(3):
                tasks.start_soon(client.read, "keyed.x", 0)
        with raises(AppendUnknownError):
            await client.append("keyed.x", RECORDS)
        assert not pool.idle_keys()


@async_test
async def test_records_of_a_page_that_is_cut_are_not_asked_for_again():
    """A page that never came through whole was read from its beginning for ever."""
    async with client_of(Questions(answer_in_part)) as (client, _):
        page = await client.read("keyed.x", 0)
    assert [record.value for record in page.records] == [r.value for r in RECORDS[:2]]
    assert page.next_offset == 2
    assert not page.complete


@async_test
async def test_answer_that_hardly_gets_further_is_given_up():
    """A read that never ends would hide that the store can't be read."""
    began_at = time.monotonic()
    async with client_of(Questions(answer_a_byte_at_a_time)) as (client, _):
        with raises(LogUnavailableError):
            await client.read("keyed.x", 0)
    assert time.monotonic() - began_at < MAX_SILENCE_SECONDS + 1.5
