"""Failure of an attempt to get an answer from an endpoint."""

from __future__ import annotations

from knapweeddrum.value.retry_reason import RetryReason
from knapweeddrum.value.run_state import RunState


class AttemptError(Exception):
    """An endpoint gave no usable answer.

    ``run_state`` tells whether the request may have run; ``retry_after`` is in seconds.
    """

    def __init__(
        self,
        reason: RetryReason,
        run_state: RunState,
        detail: str,
        retry_after: float = 0.0,
    ) -> None:
        super().__init__(detail)
        self.reason = reason
        self.run_state = run_state
        self.retry_after = retry_after
