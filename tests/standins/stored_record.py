"""A record in the stand-in for the log."""

from __future__ import annotations

import msgspec


class StoredRecord(msgspec.Struct, frozen=True):
    """Offset, Unix seconds and payload; JSON has the payload in base64."""

    offset: int
    time: float
    payload: bytes
