"""The newest records of a stream, kept for peers."""

from __future__ import annotations

import collections

from knapweeddrum.message.call.held_record import HeldRecord

BUFFER_LIMIT_RECORDS = 512
BUFFER_LIMIT_BYTES = 2_000_000


class RecordBuffer:
    """A bounded sequence of records with consecutive offsets."""

    def __init__(self) -> None:
        self._records: collections.deque[HeldRecord] = collections.deque()
        self._size = 0

    def add(self, record: HeldRecord) -> None:
        """Add a record; a gap in the offsets drops all older records."""
        if self._records and record.offset != self._records[-1].offset + 1:
            self._records.clear()
            self._size = 0
        self._records.append(record)
        self._size += len(record.payload)
        while (
            len(self._records) > BUFFER_LIMIT_RECORDS or self._size > BUFFER_LIMIT_BYTES
        ):
            self._size -= len(self._records.popleft().payload)

    def since(self, start: int, limit: int) -> tuple[HeldRecord, ...] | None:
        """Return records from ``start`` on; None if older ones were dropped."""
        if not self._records or start < self._records[0].offset:
            return None
        skip = start - self._records[0].offset
        return tuple(self._records[index] for index in self._range(skip, limit))

    def _range(self, skip: int, limit: int) -> range:
        return range(skip, min(len(self._records), skip + limit))
