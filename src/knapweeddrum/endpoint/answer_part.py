"""One part of an engine's streamed answer."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerPart:
    """Part ``index`` (from 0) of a run; the last one is ``final`` and carries usage.

    ``prompt_tokens`` and ``output_tokens`` are cumulative figures of the engine, set
    on each part.
    """

    run_id: str
    index: int
    text: str
    final: bool
    prompt_tokens: int
    output_tokens: int
    finish_reason: str = ""
