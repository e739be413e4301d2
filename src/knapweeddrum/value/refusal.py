"""Refusal of a request."""

from __future__ import annotations

import dataclasses

from knapweeddrum.value.refusal_reason import RefusalReason
from knapweeddrum.value.run_state import RunState


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Final answer to a request that could not be served.

    ``run_state`` tells whether the request may have been executed. ``retry_after`` is
    in seconds, None if no retry is suggested. ``detail`` is for human readers.
    """

    reason: RefusalReason
    run_state: RunState = RunState.NOT_RUN
    retry_after: float | None = None
    detail: str = ""
