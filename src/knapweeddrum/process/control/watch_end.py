"""The event that ends a watch stream when the process stops."""

from __future__ import annotations

import msgspec


class WatchEnd(msgspec.Struct, frozen=True):
    """Why the stream ends, and the offset after which to resume at another host."""

    reason: str
    offset: int
