"""In-memory log."""

from __future__ import annotations

import collections
import time

import anyio

from knapweeddrum.platform.append_log import AppendLog
from knapweeddrum.platform.log_page import LogPage
from knapweeddrum.platform.log_record import LogRecord


class MemoryLog(AppendLog):
    """Keeps all records; an append takes effect after ``delay`` seconds."""

    def __init__(self, delay: float) -> None:
        self.appends = 0
        self._delay = delay
        self._streams: dict[str, list[LogRecord]] = collections.defaultdict(list)
        self._appended = anyio.Event()

    async def append(self, stream: str, payload: bytes) -> int:
        """Append one record and return its offset."""
        await anyio.sleep(self._delay)
        records = self._streams[stream]
        records.append(LogRecord(len(records), time.time(), payload))
        self.appends += 1
        self._appended.set()
        self._appended = anyio.Event()
        return len(records) - 1

    async def read(self, stream: str, start: int, limit: int, wait: float) -> LogPage:
        """Return records from an offset; at the end, wait up to ``wait`` s for more."""
        records = self._streams[stream]
        with anyio.move_on_after(wait):
            while len(records) <= start:
                await self._appended.wait()
        page = tuple(records[start : start + limit])
        return LogPage(first=0, next=len(records), records=page)
