"""Token counts of an answer."""

from __future__ import annotations

import msgspec


class ChatUsage(msgspec.Struct, frozen=True):
    """Token counts as reported by the engine."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int
