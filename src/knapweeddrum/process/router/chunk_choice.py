"""The choice of a streamed chunk."""

from __future__ import annotations

import msgspec

from knapweeddrum.process.router.chat_delta import ChatDelta


class ChunkChoice(msgspec.Struct, frozen=True):
    """The only choice of a chunk; only the last one has ``finish_reason``."""

    delta: ChatDelta
    index: int = 0
    finish_reason: str | None = None
