"""A reader's position in one stream of the log."""

from __future__ import annotations

import msgspec


class StreamPosition(msgspec.Struct, frozen=True):
    """All records up to ``offset`` are folded; -1 for none."""

    stream: str
    offset: int
