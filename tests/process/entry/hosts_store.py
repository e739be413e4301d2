"""The store's stream of heartbeats in virtual time, with writes that fail."""

from __future__ import annotations

import dataclasses
import enum
import random
from collections.abc import Sequence

import anyio
import anyio.abc

from knapweeddrum.platform.exceptions import (
    AppendUnknownError,
    LogUnavailableError,
    StoreReturnedError,
)
from knapweeddrum.platform.keyed_record import KeyedRecord
from knapweeddrum.platform.store_listing import StoreListing
from knapweeddrum.platform.store_page import StorePage
from knapweeddrum.value.store_position import era_of, offset_of, store_position

CALL_SECONDS = 0.005
NO_REPLY_SECONDS = 0.3
LATE_SECONDS = (1.0, 6.0)


class WriteFate(enum.Enum):
    """What becomes of a write."""

    DONE = "done"
    REFUSED = "refused"
    LOST = "lost"
    """Done, but not answered."""
    LATE = "late"
    """Done seconds later, and not answered."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Written:
    at: float
    record: KeyedRecord


class HostsStore:
    """Keeps the records of one stream; ``fates`` holds the hosts whose writes fail."""

    def __init__(self, rng: random.Random) -> None:
        self.fates: dict[int, WriteFate] = {}
        self.cut: set[int] = set()
        """Hosts that don't reach the store."""
        self.late_writes: anyio.abc.TaskGroup | None = None
        self._rng = rng
        self._written: list[_Written] = []
        self._era = 1

    @property
    def era(self) -> int:
        return self._era

    def go_back(self, seconds: float) -> None:
        """Come back from a copy that is so many seconds old."""
        copied_at = anyio.current_time() - seconds
        self._written = [item for item in self._written if item.at <= copied_at]
        self._era += 1

    def write(self, records: Sequence[KeyedRecord]) -> int:
        for record in records:
            position = store_position(self._era, len(self._written))
            stored = KeyedRecord(record.key, record.value, position)
            self._written.append(_Written(anyio.current_time(), stored))
        return self.end

    async def write_late(self, records: Sequence[KeyedRecord]) -> None:
        await anyio.sleep(self._rng.uniform(*LATE_SECONDS))
        self.write(records)

    @property
    def end(self) -> int:
        return store_position(self._era, len(self._written))

    def records(self, start: int) -> tuple[KeyedRecord, ...]:
        return tuple(item.record for item in self._written[start:])


class HostsStoreLink:
    """The calls of one host to the store."""

    def __init__(self, store: HostsStore, number: int) -> None:
        self._store = store
        self._number = number

    async def append(self, _name: str, records: Sequence[KeyedRecord]) -> int:
        await self._call()
        store = self._store
        fate = store.fates.get(self._number, WriteFate.DONE)
        if fate is WriteFate.REFUSED:
            raise LogUnavailableError("append refused with status 503")
        if fate is WriteFate.DONE:
            return store.write(records)
        if fate is WriteFate.LOST:
            store.write(records)
        elif store.late_writes is not None:
            store.late_writes.start_soon(store.write_late, records)
        await anyio.sleep(NO_REPLY_SECONDS)
        raise AppendUnknownError("no reply")

    async def read(
        self,
        _name: str,
        start: int,
        _wait: float = 0.0,
        _on_late: object = None,
        _page_kb: int = 0,
    ) -> StorePage:
        await self._call()
        if era_of(start) != self._store.era:
            raise StoreReturnedError(self._store.era)
        records = self._store.records(offset_of(start))
        return StorePage(records, self._store.end, complete=True)

    async def list_newest(self, _name: str, _on_late: object = None) -> StoreListing:
        await self._call()
        newest = {record.key: record for record in self._store.records(0)}
        return StoreListing(tuple(newest.values()), self._store.end)

    async def _call(self) -> None:
        await anyio.sleep(CALL_SECONDS)
        if self._number in self._store.cut:
            raise LogUnavailableError("no path")
