"""A message of a chat-completion body."""

from __future__ import annotations

import msgspec


class ChatMessage(msgspec.Struct, frozen=True):
    """The fields that the router reads; engines get the body as received."""

    role: str
    content: msgspec.Raw = msgspec.Raw(b'""')
