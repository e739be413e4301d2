"""Token figures of an answer."""

from __future__ import annotations

import msgspec


class ChatUsage(msgspec.Struct, frozen=True):
    """The engine's figures, in tokens."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int
