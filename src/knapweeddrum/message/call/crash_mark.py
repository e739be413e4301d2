"""A crash of an endpoint while a request ran there."""

from __future__ import annotations

import msgspec


class CrashMark(msgspec.Struct, frozen=True):
    """``endpoint`` crashed while a request ran there; ``at`` is in Unix seconds."""

    endpoint: str
    at: float
