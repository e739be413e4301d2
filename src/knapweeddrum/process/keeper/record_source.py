"""Interface of a source of log records other than the log."""

from __future__ import annotations

import abc

from knapweeddrum.message.call.fetch_reply import FetchReply


class RecordSource(abc.ABC):
    """Source of the records of a stream while the log is unavailable."""

    @abc.abstractmethod
    async def fetch(self, stream: str, start: int) -> FetchReply | None:
        """Return records from ``start`` on or a later state; None if there are none."""
