"""A chunk of a streamed answer."""

from __future__ import annotations

import msgspec

from knapweeddrum.process.router.chat_usage import ChatUsage
from knapweeddrum.process.router.chunk_choice import ChunkChoice


class ChatChunk(msgspec.Struct, frozen=True, omit_defaults=True):
    """The chat.completion.chunk object; the last chunk has usage and no choices."""

    id: str
    model: str
    created: int
    choices: tuple[ChunkChoice, ...]
    object: str = msgspec.field(default_factory=lambda: "chat.completion.chunk")
    usage: ChatUsage | None = None
