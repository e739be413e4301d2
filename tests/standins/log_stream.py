"""A stream of the stand-in for the append-only log."""

from __future__ import annotations

import collections
import time

import anyio

from tests.standins.stored_record import StoredRecord

MAX_PAGE_BYTES = 4 * 1024 * 1024


class LogStream:
    """The records within retention; ``next`` is the offset of the next append."""

    def __init__(self) -> None:
        self.records: collections.deque[StoredRecord] = collections.deque()
        self.next = 0
        self.appended = anyio.Event()

    @property
    def first(self) -> int:
        """Return the offset of the oldest record kept, or ``next`` without one."""
        return self.next - len(self.records)

    def append(self, payload: bytes) -> int:
        """Append a record and wake the waiting readers; return its offset."""
        latest = self.records[-1].time if self.records else 0.0
        now = max(time.time(), latest)
        self.records.append(StoredRecord(self.next, now, payload))
        self.next += 1
        self.appended.set()
        self.appended = anyio.Event()
        return self.next - 1

    def expire(self, max_records: int, max_seconds: float) -> None:
        """Drop the records beyond retention; a limit of 0 is disabled."""
        oldest = time.time() - max_seconds
        while max_records and len(self.records) > max_records:
            self.records.popleft()
        while max_seconds and self.records and self.records[0].time < oldest:
            self.records.popleft()

    def visible_next(self, lag: float) -> int:
        """Return the next offset as it was ``lag`` seconds ago."""
        if not lag:
            return self.next
        newest = time.time() - lag
        for record in reversed(self.records):
            if record.time <= newest:
                return record.offset + 1
        return self.first

    def page(self, start: int, limit: int, end: int) -> list[StoredRecord]:
        """Return records from ``start`` up to ``end``, bounded in count and size."""
        page: list[StoredRecord] = []
        size = 0
        for offset in range(start, min(end, start + limit)):
            record = self.records[offset - self.first]
            size += len(record.payload)
            if page and size > MAX_PAGE_BYTES:
                break
            page.append(record)
        return page
