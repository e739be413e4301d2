"""A request that the stand-in for a plain service ran."""

from __future__ import annotations

import msgspec


class Execution(msgspec.Struct, frozen=True):
    """Idempotency key, method, and path without the query."""

    key: str
    method: str
    path: str
