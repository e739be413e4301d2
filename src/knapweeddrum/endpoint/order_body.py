"""Body of an order to an engine."""

from __future__ import annotations

import msgspec


class OrderBody(msgspec.Struct, frozen=True):
    """The fields of an order; ``fence`` is its fencing number."""

    fence: int
    action: str
    model: str
    version: str
    adapter: str
    role: str
