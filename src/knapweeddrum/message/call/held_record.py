"""A log record that a peer keeps in memory."""

from __future__ import annotations

import msgspec


class HeldRecord(msgspec.Struct, frozen=True):
    """Offset, the log's time stamp in Unix seconds, and the payload."""

    offset: int
    time: float
    payload: bytes
