"""Peers that hold no records."""

from __future__ import annotations

from knapweeddrum.message.call.fetch_reply import FetchReply
from knapweeddrum.process.keeper.record_source import RecordSource


class NoRecords(RecordSource):
    """Gives nothing: no log record is known to a peer and not to a reader here."""

    async def fetch(self, stream: str, start: int) -> FetchReply | None:
        """Return None."""
        return None
