from __future__ import annotations

from collections.abc import Callable, Iterable
from types import SimpleNamespace

import anyio

from knapweeddrum.platform.exceptions import LogUnavailableError, RecordsExpiredError
from knapweeddrum.platform.keyed_record import KeyedRecord
from knapweeddrum.platform.store_listing import StoreListing
from knapweeddrum.platform.store_page import StorePage
from knapweeddrum.process.entry.stream_follower import (
    BEHIND_SECONDS,
    RETRY_SECONDS,
    RecordReader,
    StreamFollower,
)
from knapweeddrum.process.entry.stream_read import StreamRead
from tests.async_test import async_test

CALL_SECONDS = 0.05

OnLate = Callable[[], None] | None


class ForgetfulStore:
    """Has one record; its history is deleted before the first read."""

    def __init__(self) -> None:
        self.records = (KeyedRecord("a", b"1", 4),)
        self.has_history = False

    async def list_newest(self, stream: str, on_late: OnLate = None) -> StoreListing:
        await anyio.sleep(CALL_SECONDS)
        return StoreListing(self.records, 5)

    async def read(
        self,
        stream: str,
        start: int,
        wait: float,
        on_late: OnLate = None,
        page_kb: int = 0,
    ) -> StorePage:
        await anyio.sleep(CALL_SECONDS)
        if not self.has_history:
            self.has_history = True
            raise RecordsExpiredError(5)
        return StorePage((), start, complete=True)


class StoreWithPast:
    """Has records up to offset 6; the listing ends before the last one."""

    def __init__(self, first: int) -> None:
        self.first = first
        self.records = tuple(KeyedRecord("a", b"1", n) for n in range(first, 7))

    async def list_newest(self, stream: str, on_late: OnLate = None) -> StoreListing:
        return StoreListing(self.records[-2:-1], 6)

    async def read(
        self,
        stream: str,
        start: int,
        wait: float = 0.0,
        on_late: OnLate = None,
        page_kb: int = 0,
    ) -> StorePage:
        await anyio.sleep(CALL_SECONDS)
        if start < self.first:
            raise RecordsExpiredError(self.first)
        found = tuple(record for record in self.records if record.offset >= start)
        return StorePage(found, 7, complete=True)


class ReaderLog(RecordReader):
    """Records the calls of a follower."""

    def __init__(self, past: int = 0) -> None:
        self.past = past
        self.past_offsets: list[int] = []
        self.calls: list[str] = []
        self.reads: list[StreamRead] = []

    def apply_listing(
        self, records: Iterable[KeyedRecord], end: int, now: float
    ) -> None:
        self.calls.append("listing")

    def past_records(self, listed: int) -> int:
        return self.past * listed

    def apply_past(self, records: Iterable[KeyedRecord], now: float) -> None:
        self.calls.append("past")
        self.past_offsets += [record.offset for record in records]

    def apply_records(self, records: Iterable[KeyedRecord], now: float) -> None:
        self.calls.append("records")

    def on_store_lost(self) -> None:
        self.calls.append("lost")

    def on_up_to_date(self, read: StreamRead) -> None:
        self.calls.append("up to date")
        self.reads.append(read)


async def follow(
    reader: RecordReader, seconds: float, store: object | None = None
) -> None:
    """Follow a store; by default one whose history is deleted once."""
    store = store or ForgetfulStore()
    events = SimpleNamespace(emit=lambda *args, **fields: None)
    follower = StreamFollower(store, "s", reader, events, 0.0, 0.0)  # type: ignore[arg-type]
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


@async_test
async def test_reader_gets_the_records_before_a_listing_first():
    """Those from the listing's end on are read after it, once."""
    reader = ReaderLog(past=2)
    await follow(reader, 2.5 * CALL_SECONDS, StoreWithPast(first=3))
    assert reader.calls[:3] == ["past", "listing", "up to date"]
    assert reader.past_offsets == [4, 5]


@async_test
async def test_records_before_a_listing_that_have_expired_delay_nothing():
    """What the store still has of them is read; without any the listing counts."""
    reader = ReaderLog(past=6)
    await follow(reader, 3.5 * CALL_SECONDS, StoreWithPast(first=5))
    assert reader.past_offsets == [5]
    reader = ReaderLog(past=6)
    await follow(reader, 3.5 * CALL_SECONDS, StoreWithPast(first=6))
    assert reader.calls[:2] == ["listing", "up to date"]


class StoreInTrouble:
    """Fails ``failures`` reads that take some time each; counts the listings."""

    def __init__(self, failures: int, seconds: float) -> None:
        self.listings = 0
        self._failures = failures
        self._seconds = seconds

    async def list_newest(self, stream: str, on_late: OnLate = None) -> StoreListing:
        self.listings += 1
        return StoreListing((), 5)

    async def read(self, stream: str, start: int, *_: object) -> StorePage:
        await anyio.sleep(self._seconds)
        if self._failures:
            self._failures -= 1
            raise LogUnavailableError("busy")
        return StorePage((), start, complete=True)


@async_test
async def test_heartbeats_are_listed_again_only_after_a_long_time_without_a_read():
    """A listing of hundreds of hosts is long, and so is all that they wrote since."""
    for failures, seconds, listings in ((1, CALL_SECONDS, 1), (1, BEHIND_SECONDS, 2)):
        store = StoreInTrouble(failures, seconds)
        reader = ReaderLog()
        reader.needs_newest_only = True
        await follow(reader, 2 * seconds + 2 * RETRY_SECONDS, store)
        assert store.listings == listings
