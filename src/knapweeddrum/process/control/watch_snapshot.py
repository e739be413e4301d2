"""The event before and after a snapshot in a watch stream."""

from __future__ import annotations

import msgspec


class WatchSnapshot(msgspec.Struct, frozen=True):
    """A snapshot of ``resources`` resources as of log offset ``offset``."""

    offset: int
    resources: int
