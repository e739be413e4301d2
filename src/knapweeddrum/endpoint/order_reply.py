"""Body of an engine's reply to an order."""

from __future__ import annotations

import msgspec


class OrderReply(msgspec.Struct, frozen=True):
    """Fencing number of the order that the engine took."""

    fence: int
