"""A reader's position in one stream of the log."""

from __future__ import annotations

import msgspec


class StreamPosition(msgspec.Struct, frozen=True):
    """All records up to ``offset`` have been applied; -1 for none."""

    stream: str
    offset: int
