"""Parts of a prompt with their sizes."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class PromptParts:
    """A prompt's size and the parts in front that other requests share, in order."""

    tokens: int = 0
    """Tokens of the whole prompt."""
    shared: tuple[tuple[str, int], ...] = ()
    """Identifier and tokens of each shared part."""
    output_tokens: int = 0
    """Largest number of tokens of the answer."""

    @property
    def shared_tokens(self) -> int:
        """Return the tokens of all shared parts."""
        return sum(tokens for _, tokens in self.shared)


NO_PROMPT = PromptParts()
