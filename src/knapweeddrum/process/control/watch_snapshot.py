"""The events that begin and end a snapshot in a watch stream."""

from __future__ import annotations

import msgspec


class WatchSnapshot(msgspec.Struct, frozen=True):
    """The snapshot's log offset and its number of resources."""

    offset: int
    resources: int
