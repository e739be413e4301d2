"""A failed attempt, the input of the retry policies."""

from __future__ import annotations

import dataclasses

from knapweeddrum.value.retry_reason import RetryReason
from knapweeddrum.value.run_state import RunState


@dataclasses.dataclass(frozen=True, slots=True)
class FailedAttempt:
    """Why the last attempt of a request failed, and how many were made.

    ``attempts`` counts all attempts so far, this one included. ``idempotent`` says
    whether the request may be repeated, ``run_state`` whether any attempt may have
    run. ``deadline`` is in monotonic seconds, ``retry_after`` in seconds as the
    endpoint asked, or zero.
    """

    reason: RetryReason
    attempts: int
    idempotent: bool
    run_state: RunState
    deadline: float
    retry_after: float = 0.0
    connect_failures: int = 0
    """Failed connections of the request, on which nothing was sent."""
    crashes: int = 0
    """Endpoints that may have crashed under the request, in earlier copies too."""
