"""Follows a keyed stream of the store."""

from __future__ import annotations

import abc
import time
from collections.abc import Iterable

import anyio

from knapweeddrum.platform.exceptions import (
    LogUnavailableError,
    RecordsExpiredError,
    StoreReturnedError,
)
from knapweeddrum.platform.keyed_record import KeyedRecord
from knapweeddrum.platform.store_client import REQUESTED_PAGE_KB, StoreClient
from knapweeddrum.platform.store_listing import StoreListing
from knapweeddrum.platform.store_page import StorePage
from knapweeddrum.process.entry.stream_read import StreamRead
from knapweeddrum.telemetry.event_log import EventLog
from knapweeddrum.telemetry.events import DEPENDENCY_READY, WAITING
from knapweeddrum.value.store_position import era_of, store_position

RETRY_SECONDS = 0.25
"""Pause after a failed call to the store."""

PAST_TRIES = 2
"""Reads of the records before a listing, of which the oldest may have expired."""

PAGE_TRIES = 3
"""Reads of one page of them before the listing is given up as well."""


BEHIND_SECONDS = 3.0
"""Time without a read after which a listing is shorter than what was written since."""


class RecordReader(abc.ABC):
    """Applies the records of one stream; ``now`` is in monotonic seconds."""

    @abc.abstractmethod
    def apply_listing(
        self, records: Iterable[KeyedRecord], end: int, now: float
    ) -> None:
        """Apply a listing, which has the newest record of each existing key.

        ``end`` is the offset at which the listing ends.
        """

    @abc.abstractmethod
    def apply_records(self, records: Iterable[KeyedRecord], now: float) -> None:
        """Apply the records that follow those applied before."""

    def past_records(self, listed: int) -> int:
        """Return how many records before a listing of so many keys are of use."""
        return 0

    def apply_past(self, records: Iterable[KeyedRecord], now: float) -> None:
        """Apply the records before a listing, which follows."""
        self.apply_records(records, now)

    needs_newest_only = False
    """Whether earlier records of a key are of no use once a later one is known."""

    page_kb = REQUESTED_PAGE_KB
    """KiB of records that are read at a time."""

    @abc.abstractmethod
    def on_store_lost(self) -> None:
        """Handle a call to the store that failed, or whose answer is late."""

    @abc.abstractmethod
    def on_up_to_date(self, read: StreamRead) -> None:
        """Handle a read that reached the end of the stream."""


class StreamFollower:
    """Lists a stream, then reads the records that follow the listing.

    The stream is listed again when the store has deleted records that were not read, or
    has come back from an older copy, which counts as an outage. So it is when a reader
    that needs only the newest records is behind. A reader that needs
    what led to a listing gets the records before it, but for those of an older copy.
    ``wait`` is how long a read waits for a record, ``interval`` the minimum time from
    one read to the next, both in seconds.
    """

    def __init__(
        self,
        store: StoreClient,
        stream: str,
        reader: RecordReader,
        events: EventLog,
        wait: float,
        interval: float,
    ) -> None:
        self._store = store
        self.stream = stream
        self._reader = reader
        self._events = events
        self._wait = wait
        self._interval = interval
        self._next_offset: int | None = None
        self._reads_past = True
        """Whether the records before the next listing are of use."""
        self._is_store_unreachable = False
        self._read_at = float("-inf")
        """Time of the last read that reached the end of the stream."""

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        while True:
            started_at = time.monotonic()
            if not await self._step():
                await anyio.sleep(RETRY_SECONDS)
                continue
            spent = time.monotonic() - started_at
            await anyio.sleep(max(0.0, self._interval - spent))

    async def _step(self) -> bool:
        """Read once; return whether the store answered."""
        try:
            if self._next_offset is None:
                await self._list()
            else:
                await self._read(self._next_offset)
        except StoreReturnedError:
            self._reader.on_store_lost()
            self._next_offset = None
            self._reads_past = False
            return await self._step()
        except RecordsExpiredError:
            self._next_offset = None
            self._reads_past = True
            return await self._step()
        except LogUnavailableError as exc:
            self._record_failure(exc)
            return False
        return True

    async def _list(self) -> None:
        asked_at = time.monotonic()
        listing = await self._store.list_newest(self.stream, self._record_late)
        past = await self._read_past(listing) if self._reads_past else []
        now = time.monotonic()
        self._next_offset = listing.next_offset
        if past:
            self._reader.apply_past(past, now)
        self._reader.apply_listing(listing.records, listing.next_offset, now)
        self._record_success(StreamRead(asked_at, now, listing.next_offset))

    async def _read_past(self, listing: StoreListing) -> list[KeyedRecord]:
        """Return the last records before a listing, as far as the store has them."""
        end = listing.next_offset
        first = store_position(era_of(end), 0)
        start = max(first, end - self._reader.past_records(len(listing.records)))
        for _ in range(PAST_TRIES):
            try:
                return await self._read_range(start, end)
            except StoreReturnedError:
                raise
            except RecordsExpiredError as exc:
                start = store_position(era_of(end), exc.first)
        return []

    async def _read_range(self, start: int, end: int) -> list[KeyedRecord]:
        found: list[KeyedRecord] = []
        while start < end:
            page = await self._read_page(start)
            found += [record for record in page.records if record.offset < end]
            if page.next_offset <= start:
                break
            start = page.next_offset
        return found

    async def _read_page(self, start: int) -> StorePage:
        for _ in range(PAGE_TRIES - 1):
            try:
                return await self._store.read(
                    self.stream, start, 0.0, self._record_late
                )
            except LogUnavailableError as exc:
                self._record_lost(str(exc))
                await anyio.sleep(RETRY_SECONDS)
        return await self._store.read(self.stream, start, 0.0, self._record_late)

    async def _read(self, start: int) -> None:
        asked_at = time.monotonic()
        page = await self._store.read(
            self.stream, start, self._wait, self._record_late, self._reader.page_kb
        )
        now = time.monotonic()
        if page.records:
            self._reader.apply_records(page.records, now)
        self._next_offset = page.next_offset
        if page.complete:
            self._record_success(StreamRead(asked_at, now, page.next_offset))
        elif self._reader.needs_newest_only:
            self._next_offset = None
            self._reads_past = False

    def _record_success(self, read: StreamRead) -> None:
        self._read_at = read.received_at
        if self._is_store_unreachable:
            self._is_store_unreachable = False
            self._events.emit(DEPENDENCY_READY, dependency=self.stream)
        self._reader.on_up_to_date(read)

    def _record_failure(self, exc: LogUnavailableError) -> None:
        self._record_lost(str(exc))
        is_behind = time.monotonic() - self._read_at >= BEHIND_SECONDS
        if is_behind and self._reader.needs_newest_only:
            self._next_offset = None

    def _record_late(self) -> None:
        """Record that an answer is late, though it may come in yet."""
        self._record_lost("the answer is late")

    def _record_lost(self, error: str) -> None:
        if not self._is_store_unreachable:
            self._is_store_unreachable = True
            self._events.emit(WAITING, dependency=self.stream, error=error)
        self._reader.on_store_lost()
