"""Body of an engine's reply with cache events."""

from __future__ import annotations

import msgspec

from knapweeddrum.endpoint.cache_event import CacheEvent


class CacheEventBody(msgspec.Struct, frozen=True):
    """JSON of one cache event."""

    sequence: int
    prefix: str
    stored: bool


class CacheEventsReply(msgspec.Struct, frozen=True):
    """Cache events in increasing order; lost ones leave gaps in the sequence."""

    events: tuple[CacheEventBody, ...]

    def cache_events(self) -> tuple[CacheEvent, ...]:
        """Return the events."""
        return tuple(
            CacheEvent(sequence=item.sequence, prefix=item.prefix, stored=item.stored)
            for item in self.events
        )
