"""Problem details (RFC 9457) of the resource API."""

from __future__ import annotations

import dataclasses

from knapweeddrum.process.control.field_error import FieldError
from knapweeddrum.value.control_refusal_reason import ControlRefusalReason
from knapweeddrum.value.run_state import RunState


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """Why a request failed; ``retry_after`` is in seconds, None if a retry is useless.

    ``run_state`` says whether a change may have been applied. ``version`` and
    ``offset`` are those of the stored resource with which a change conflicts.
    """

    reason: ControlRefusalReason
    detail: str
    run_state: RunState = RunState.NOT_RUN
    retry_after: float | None = None
    errors: tuple[FieldError, ...] = ()
    version: int | None = None
    offset: int | None = None
