from __future__ import annotations

import collections

import anyio

from knapweeddrum.platform.append_log import AppendLog
from knapweeddrum.platform.exceptions import (
    AppendUnknownError,
    LogUnavailableError,
    RecordsExpiredError,
)
from knapweeddrum.platform.log_page import LogPage
from knapweeddrum.platform.log_record import LogRecord

START_TIME = 1_800_000_000.0


class MemoryLog:
    """Streams in memory, shared by the handles of several keepers."""

    def __init__(self) -> None:
        self.time = START_TIME
        self.first = collections.Counter()
        self.streams = collections.defaultdict(list)
        self.changed = anyio.Event()

    def expire_all_but(self, count: int) -> None:
        """Let all records but the last ``count`` of each stream expire."""
        for name, records in self.streams.items():
            self.first[name] = max(0, len(records) - count)

    def add(self, stream: str, payload: bytes) -> int:
        records = self.streams[stream]
        records.append(LogRecord(len(records), self.time, payload))
        self.changed.set()
        self.changed = anyio.Event()
        return len(records) - 1


class MemoryLogHandle(AppendLog):
    """One keeper's access to the log.

    If ``unavailable`` is true, each call fails. The next ``lose_replies`` successful
    appends are reported as unknown. With ``delay_appends``, appends are stored only by
    ``deliver``.
    """

    def __init__(self, log: MemoryLog) -> None:
        self.unavailable = False
        self.lose_replies = 0
        self.delay_appends = False
        self._delayed: list[tuple[str, bytes]] = []
        self._log = log

    async def append(self, stream: str, payload: bytes) -> int:
        await anyio.sleep(0)
        self._check()
        if self.delay_appends:
            self._delayed.append((stream, payload))
            raise AppendUnknownError("reply late")
        offset = self._log.add(stream, payload)
        if self.lose_replies:
            self.lose_replies -= 1
            raise AppendUnknownError("reply lost")
        return offset

    def deliver(self) -> None:
        """Store the delayed appends and delay no more."""
        self.delay_appends = False
        for stream, payload in self._delayed:
            self._log.add(stream, payload)
        self._delayed.clear()

    async def read(self, stream: str, start: int, limit: int, wait: float) -> LogPage:
        await anyio.sleep(0)
        self._check()
        first = self._log.first[stream]
        if start < first:
            raise RecordsExpiredError(first)
        records = self._log.streams[stream]
        with anyio.move_on_after(wait):
            while len(records) <= start:
                await self._log.changed.wait()
        self._check()
        page = tuple(records[start : start + limit])
        return LogPage(first=first, next=len(records), records=page)

    def _check(self) -> None:
        if self.unavailable:
            raise LogUnavailableError("outage")
