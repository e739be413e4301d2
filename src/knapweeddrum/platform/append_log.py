"""Interface of the platform's append-only log."""

from __future__ import annotations

import abc

from knapweeddrum.platform.log_page import LogPage


class AppendLog(abc.ABC):
    """Append-only streams of records, numbered from 0 and kept for a limited time."""

    @abc.abstractmethod
    async def append(self, stream: str, payload: bytes) -> int:
        """Append one record and return its offset.

        Raises LogUnavailableError if nothing was written and AppendUnknownError if
        the record may or may not have been written.
        """

    @abc.abstractmethod
    async def read(self, stream: str, start: int, limit: int, wait: float) -> LogPage:
        """Return at most ``limit`` records from offset ``start`` on.

        A read at the end of the stream waits up to ``wait`` seconds for a record.
        Raises RecordsExpiredError and LogUnavailableError.
        """
