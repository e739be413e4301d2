"""A crash that a request took part in."""

from __future__ import annotations

import msgspec


class CrashMark(msgspec.Struct, frozen=True):
    """``endpoint`` crashed at ``at``, in Unix seconds, while the request ran there."""

    endpoint: str
    at: float
