"""In-memory log of one prepared, read-only stream."""

from __future__ import annotations

from collections.abc import Iterable

import anyio
import msgspec

from knapweeddrum.platform.append_log import AppendLog
from knapweeddrum.platform.log_page import LogPage
from knapweeddrum.platform.page_reply import PageReply, RecordBody


class PageLog(AppendLog):
    """Serves pages encoded in advance as in HTTP replies."""

    def __init__(self, payloads: Iterable[bytes], page_records: int) -> None:
        self.bytes_read = 0
        records = [
            RecordBody(offset, 1_000.0 + offset / 1_000, payload)
            for offset, payload in enumerate(payloads)
        ]
        self.next = len(records)
        self._pages = {
            start: self._encode(records[start : start + page_records])
            for start in range(0, len(records), page_records)
        }

    async def append(self, stream: str, payload: bytes) -> int:
        """Raise NotImplementedError: the stream is read-only."""
        raise NotImplementedError

    async def read(self, stream: str, start: int, limit: int, wait: float) -> LogPage:
        """Return the page that starts at an offset; at the end, block forever."""
        page = self._pages.get(start)
        if page is None:
            await anyio.sleep_forever()
            raise AssertionError("unreachable: the sleep before never ends")
        self.bytes_read += len(page)
        return msgspec.json.decode(page, type=PageReply).page(start)

    def _encode(self, records: list[RecordBody]) -> bytes:
        reply = PageReply(first=0, next=self.next, records=tuple(records))
        return msgspec.json.encode(reply)
