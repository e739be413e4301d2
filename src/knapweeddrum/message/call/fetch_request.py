"""A request for log records that a peer holds."""

from __future__ import annotations

import msgspec


class FetchRequest(msgspec.Struct, frozen=True):
    """Asks for records of a stream from offset ``start`` on, at most ``limit``."""

    stream: str
    start: int
    limit: int
