"""The honest answer to a request that is given up."""

from __future__ import annotations

import dataclasses

from knapweeddrum.value.refusal_reason import RefusalReason
from knapweeddrum.value.run_state import RunState


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A final negative answer; ``retry_after`` is in seconds, None for never."""

    reason: RefusalReason
    run_state: RunState = RunState.NOT_RUN
    retry_after: float | None = None
    detail: str = ""
