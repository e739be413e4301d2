"""JSON of one part of an engine's streamed answer."""

from __future__ import annotations

from typing import Annotated

import msgspec

from knapweeddrum.endpoint.answer_part import AnswerPart

Count = Annotated[int, msgspec.Meta(ge=0)]


class PartMessage(msgspec.Struct, frozen=True):
    """A part as the engine sends it; the fields are those of AnswerPart."""

    run_id: str
    index: Count
    text: str
    final: bool
    prompt_tokens: Count
    output_tokens: Count
    finish_reason: str = ""

    def part(self) -> AnswerPart:
        """Return the part."""
        return AnswerPart(
            run_id=self.run_id,
            index=self.index,
            text=self.text,
            final=self.final,
            prompt_tokens=self.prompt_tokens,
            output_tokens=self.output_tokens,
            finish_reason=self.finish_reason,
        )
