"""Interface of the platform's append-only log."""

from __future__ import annotations

import abc

from knapweeddrum.platform.log_page import LogPage


class AppendLog(abc.ABC):
    """Streams of records with offsets from 0, kept for a limited time."""

    @abc.abstractmethod
    async def append(self, stream: str, payload: bytes) -> int:
        """Append one record and return its offset.

        Raises LogUnavailableError when nothing was written and AppendUnknownError
        when that can't be known.
        """

    @abc.abstractmethod
    async def read(self, stream: str, start: int, limit: int, wait: float) -> LogPage:
        """Return at most ``limit`` records from offset ``start`` on.

        At the end of the stream it waits up to ``wait`` seconds for a record. Raises
        RecordsExpiredError and LogUnavailableError.
        """
