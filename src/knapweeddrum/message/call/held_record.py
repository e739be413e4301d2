"""A log record as a peer holds it."""

from __future__ import annotations

import msgspec


class HeldRecord(msgspec.Struct, frozen=True):
    """Offset, the log's time stamp in seconds, and the payload."""

    offset: int
    time: float
    payload: bytes
