"""Text of a chunk, or message of an answer."""

from __future__ import annotations

import msgspec


class ChatDelta(msgspec.Struct, frozen=True, omit_defaults=True):
    """Role and text; in a stream, only the first chunk has ``role``."""

    role: str | None = None
    content: str | None = None
