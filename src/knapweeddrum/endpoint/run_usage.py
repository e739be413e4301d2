"""What an engine consumed for one run."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RunUsage:
    """The engine's token counts of a run, which grow while it is ``running``."""

    run_id: str
    prompt_tokens: int
    output_tokens: int
    running: bool

    @property
    def tokens(self) -> int:
        """Return the tokens to bill."""
        return self.prompt_tokens + self.output_tokens
