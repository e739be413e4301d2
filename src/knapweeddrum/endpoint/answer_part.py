"""One part of an engine's streamed answer."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerPart:
    """Part ``index`` (from 0) of a run's answer; the last one is ``final``.

    Each part has the engine's cumulative counts ``prompt_tokens`` and
    ``output_tokens``; those of the final part are the usage of the run.
    """

    run_id: str
    index: int
    text: str
    final: bool
    prompt_tokens: int
    output_tokens: int
    finish_reason: str = ""
