"""Record source without records."""

from __future__ import annotations

from knapweeddrum.message.call.fetch_reply import FetchReply
from knapweeddrum.process.keeper.record_source import RecordSource


class NoRecords(RecordSource):
    """Holds no records: here each keeper can read every record from the log itself."""

    async def fetch(self, stream: str, start: int) -> FetchReply | None:
        """Return None: no peer has the records."""
        return None
