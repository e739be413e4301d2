"""Text of a chunk or message of an answer."""

from __future__ import annotations

import msgspec


class ChatDelta(msgspec.Struct, frozen=True, omit_defaults=True):
    """``role`` stands on the first chunk only."""

    role: str | None = None
    content: str | None = None
