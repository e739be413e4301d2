"""The choice of an answer that is not streamed."""

from __future__ import annotations

import msgspec

from knapweeddrum.process.router.chat_delta import ChatDelta


class ChatChoice(msgspec.Struct, frozen=True):
    """The only choice of an answer, as the router admits no other number."""

    message: ChatDelta
    finish_reason: str
    index: int = 0
