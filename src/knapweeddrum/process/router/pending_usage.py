"""A run whose token usage is to be collected from its engine."""

from __future__ import annotations

import dataclasses

import anyio

from knapweeddrum.core.billing.run_outcome import RunOutcome
from knapweeddrum.process.router.engine_attempt import EngineAttempt
from knapweeddrum.value.identifiers import RequestKey


@dataclasses.dataclass(frozen=True, slots=True)
class PendingUsage:
    """``request_ended`` is set after the request ended and its answer was settled.

    The first settlement of a request is what its organisation is billed, so abandoned
    runs are settled later. ``may_be_resumed_elsewhere`` is set when another router
    may have resumed the run.
    """

    request_key: RequestKey
    attempt: EngineAttempt
    outcome: RunOutcome
    request_ended: anyio.Event
    may_be_resumed_elsewhere: bool
