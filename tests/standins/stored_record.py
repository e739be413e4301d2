"""A record in the stand-in for the append-only log."""

from __future__ import annotations

import msgspec


class StoredRecord(msgspec.Struct, frozen=True):
    """Offset, time of the append in Unix seconds, and payload (base64 in JSON)."""

    offset: int
    time: float
    payload: bytes
