"""Interface of a source of log records beside the log."""

from __future__ import annotations

import abc

from knapweeddrum.message.call.fetch_reply import FetchReply


class RecordSource(abc.ABC):
    """Peers that hold records of a stream, for when the log is out of reach."""

    @abc.abstractmethod
    async def fetch(self, stream: str, start: int) -> FetchReply | None:
        """Return records from ``start`` on or a later state; None when no peer has."""
