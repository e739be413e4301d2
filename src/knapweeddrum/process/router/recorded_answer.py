"""The answer of a claimed model request, as recorded on the log in JSON."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from knapweeddrum.endpoint.answer_part import AnswerPart
from knapweeddrum.process.router.run_ending import RunEnding


class RecordedAnswer(msgspec.Struct, frozen=True):
    """Text, finish reason and token counts of a complete answer."""

    text: str
    finish_reason: str
    prompt_tokens: int
    output_tokens: int

    @classmethod
    def of(cls, parts: Iterable[AnswerPart], ending: RunEnding) -> RecordedAnswer:
        """Return the record of an answer."""
        return cls(
            text="".join(part.text for part in parts),
            finish_reason=ending.finish_reason,
            prompt_tokens=ending.prompt_tokens,
            output_tokens=ending.output_tokens,
        )

    def part(self) -> AnswerPart:
        """Return the answer as a single part."""
        return AnswerPart(
            run_id="",
            index=0,
            text=self.text,
            final=True,
            prompt_tokens=self.prompt_tokens,
            output_tokens=self.output_tokens,
            finish_reason=self.finish_reason,
        )

    def ending(self) -> RunEnding:
        """Return the RunEnding of the answer."""
        return RunEnding(
            finish_reason=self.finish_reason,
            prompt_tokens=self.prompt_tokens,
            output_tokens=self.output_tokens,
        )
