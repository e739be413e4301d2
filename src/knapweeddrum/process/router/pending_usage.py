"""A run whose figure must be asked of its engine."""

from __future__ import annotations

import dataclasses

import anyio

from knapweeddrum.core.billing.run_outcome import RunOutcome
from knapweeddrum.process.router.engine_attempt import EngineAttempt
from knapweeddrum.value.identifiers import RequestKey


@dataclasses.dataclass(frozen=True, slots=True)
class PendingUsage:
    """``request_over`` is set once the request's last run has been settled.

    The first settlement of a request is its bill, so an abandoned run waits for it.
    ``may_have_moved`` says that another router may have taken the run over.
    """

    request_key: RequestKey
    attempt: EngineAttempt
    outcome: RunOutcome
    request_over: anyio.Event
    may_have_moved: bool
