"""Body of a request to start a run, as the stand-in for an engine reads it."""

from __future__ import annotations

from typing import Annotated

import msgspec

from tests.standins.prompt import Prompt


class StartBody(msgspec.Struct):
    """``output_limit`` is in tokens; a lower priority is served first."""

    run_id: str
    model: str
    body: Prompt
    output_limit: Annotated[int, msgspec.Meta(ge=1)]
    priority: int
