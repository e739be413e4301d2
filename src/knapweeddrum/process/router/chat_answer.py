"""An answer that is not streamed."""

from __future__ import annotations

import msgspec

from knapweeddrum.process.router.chat_choice import ChatChoice
from knapweeddrum.process.router.chat_usage import ChatUsage


class ChatAnswer(msgspec.Struct, frozen=True):
    """The chat.completion object of the OpenAI-style API."""

    id: str
    model: str
    created: int
    choices: tuple[ChatChoice, ...]
    usage: ChatUsage
    object: str = "chat.completion"
