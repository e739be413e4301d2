"""JSON body of the log's reply to a read."""

from __future__ import annotations

from typing import Annotated

import msgspec

from knapweeddrum.platform.exceptions import LogUnavailableError
from knapweeddrum.platform.log_page import LogPage
from knapweeddrum.platform.log_record import LogRecord

Offset = Annotated[int, msgspec.Meta(ge=0)]


class RecordBody(msgspec.Struct, frozen=True):
    """A record; its payload is base64 in JSON, its time in Unix seconds."""

    offset: Offset
    time: float
    payload: bytes


class PageReply(msgspec.Struct, frozen=True):
    """Oldest offset kept, first free offset, and the records."""

    first: Offset
    next: Offset
    records: tuple[RecordBody, ...]

    def page(self, start: int) -> LogPage:
        """Return the page; raises LogUnavailableError if the offsets have a gap."""
        for index, record in enumerate(self.records):
            if record.offset != start + index:
                raise LogUnavailableError(f"unexpected record offset {record.offset}")
        return LogPage(
            first=self.first,
            next=self.next,
            records=tuple(
                LogRecord(
                    offset=record.offset, time=record.time, payload=record.payload
                )
                for record in self.records
            ),
        )
