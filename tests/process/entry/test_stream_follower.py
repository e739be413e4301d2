from __future__ import annotations

from collections.abc import Iterable
from types import SimpleNamespace

import anyio

from knapweeddrum.platform.exceptions import RecordsExpiredError
from knapweeddrum.platform.keyed_record import KeyedRecord
from knapweeddrum.platform.store_listing import StoreListing
from knapweeddrum.platform.store_page import StorePage
from knapweeddrum.process.entry.stream_follower import RecordReader, StreamFollower
from knapweeddrum.process.entry.stream_read import StreamRead
from tests.async_test import async_test

CALL_SECONDS = 0.05


class ForgetfulStore:
    """Has one record; its history is deleted before the first read."""

    def __init__(self) -> None:
        self.records = (KeyedRecord("a", b"1", 4),)
        self.has_history = False

    async def list_newest(self, stream: str) -> StoreListing:
        await anyio.sleep(CALL_SECONDS)
        return StoreListing(self.records, 5)

    async def read(self, stream: str, start: int, wait: float) -> StorePage:
        await anyio.sleep(CALL_SECONDS)
        if not self.has_history:
            self.has_history = True
            raise RecordsExpiredError(5)
        return StorePage((), start, complete=True)


class ReaderLog(RecordReader):
    """Records the calls of a follower."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.reads: list[StreamRead] = []

    def apply_listing(
        self, records: Iterable[KeyedRecord], end: int, now: float
    ) -> None:
        self.calls.append("listing")

    def apply_records(self, records: Iterable[KeyedRecord], now: float) -> None:
        self.calls.append("records")

    def on_store_lost(self) -> None:
        self.calls.append("lost")

    def on_up_to_date(self, read: StreamRead) -> None:
        self.calls.append("up to date")
        self.reads.append(read)


async def follow(reader: RecordReader, seconds: float) -> None:
    """Follow a store whose history is deleted once."""
    events = SimpleNamespace(emit=lambda *args, **fields: None)
    follower = StreamFollower(ForgetfulStore(), "s", reader, events, 0.0, 0.0)  # type: ignore[arg-type]
    with anyio.move_on_after(seconds):
        await follower.run()


@async_test
async def test_reader_is_never_up_to_date_before_it_has_the_listing():
    """Else what a new listing adds isn't known, but believed to be absent."""
    reader = ReaderLog()
    await follow(reader, 6 * CALL_SECONDS)
    assert reader.calls[:4] == ["listing", "up to date", "listing", "up to date"]


@async_test
async def test_time_of_a_read_counts_from_the_question():
    """The store may have answered before what was written while the reply came."""
    reader = ReaderLog()
    await follow(reader, 6 * CALL_SECONDS)
    assert all(
        read.received_at - read.asked_at >= CALL_SECONDS for read in reader.reads
    )
