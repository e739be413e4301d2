"""Body of an engine's reply about a run."""

from __future__ import annotations

from typing import Annotated

import msgspec

from knapweeddrum.endpoint.run_usage import RunUsage

Count = Annotated[int, msgspec.Meta(ge=0)]


class UsageReply(msgspec.Struct, frozen=True):
    """JSON of a run's usage; the fields are those of RunUsage."""

    run_id: str
    prompt_tokens: Count
    output_tokens: Count
    running: bool

    def usage(self) -> RunUsage:
        """Return the usage."""
        return RunUsage(
            run_id=self.run_id,
            prompt_tokens=self.prompt_tokens,
            output_tokens=self.output_tokens,
            running=self.running,
        )
