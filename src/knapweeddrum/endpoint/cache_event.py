"""A change of an engine's prefix cache."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A prompt prefix, given by its digest, that was stored or evicted.

    ``sequence`` increases with each event; a gap means that events were lost.
    """

    sequence: int
    prefix: str
    stored: bool
