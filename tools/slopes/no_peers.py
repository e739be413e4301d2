"""Record source of a keeper without peers."""

from __future__ import annotations

from knapweeddrum.message.call.fetch_reply import FetchReply
from knapweeddrum.process.keeper.record_source import RecordSource


class NoPeers(RecordSource):
    """Holds no records."""

    async def fetch(self, stream: str, start: int) -> FetchReply | None:
        """Return None: there is no peer."""
        return None
