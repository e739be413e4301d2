"""Stream options of a chat-completion body."""

from __future__ import annotations

import msgspec


class StreamOptions(msgspec.Struct, frozen=True):
    """``include_usage`` is accepted for compatibility; usage is always sent."""

    include_usage: bool = True
