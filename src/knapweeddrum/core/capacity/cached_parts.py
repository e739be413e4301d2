"""Prompt parts that an endpoint has probably cached."""

from __future__ import annotations

from knapweeddrum.core.capacity.prompt_parts import PromptParts

CACHED_SECONDS = 30.0
"""Time for which a part counts as cached. At 5,000 tokens a second an endpoint's
smallest cache (247,000 tokens) lasts 50 s."""

MAX_PARTS = 512
"""Parts that are remembered for one endpoint."""


class CachedParts:
    """Knows which parts this host sent to one endpoint lately.

    Times are in monotonic seconds.
    """

    def __init__(self) -> None:
        self._sent_at: dict[str, float] = {}

    def record(self, prompt: PromptParts, now: float) -> None:
        """Record that a prompt was sent."""
        for part, _ in prompt.shared:
            self._sent_at.pop(part, None)
            self._sent_at[part] = now
        while len(self._sent_at) > MAX_PARTS:
            del self._sent_at[next(iter(self._sent_at))]

    def knows(self, part: str) -> bool:
        """Return whether a part was sent, however long ago."""
        return part in self._sent_at

    def tokens(self, prompt: PromptParts, now: float) -> int:
        """Return the tokens of the leading parts that are probably cached."""
        cached = 0
        for part, tokens in prompt.shared:
            if now - self._sent_at.get(part, float("-inf")) > CACHED_SECONDS:
                break
            cached += tokens
        return cached
