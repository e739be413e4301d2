"""A message of a chat-completion body."""

from __future__ import annotations

import msgspec


class ChatMessage(msgspec.Struct, frozen=True):
    """Only the fields that the router looks at; engines get the whole body."""

    role: str
    content: msgspec.Raw = msgspec.Raw(b'""')
