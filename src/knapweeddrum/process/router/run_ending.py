"""How a run ended."""

from __future__ import annotations

import dataclasses

from knapweeddrum.value.refusal import Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class RunEnding:
    """The answer is complete if ``refusal`` is None; token counts are the engine's."""

    refusal: Refusal | None = None
    finish_reason: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
