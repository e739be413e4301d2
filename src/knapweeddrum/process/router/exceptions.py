"""Errors of the router."""

from __future__ import annotations

from knapweeddrum.value.refusal import Refusal
from knapweeddrum.value.refusal_reason import RefusalReason
from knapweeddrum.value.run_state import RunState


class RouterError(Exception):
    """Base of the router's errors."""


class RefusedError(RouterError):
    """The request is refused; ``refusal`` is sent to its caller."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(f"{refusal.reason.value}: {refusal.detail}")
        self.refusal = refusal


class CallerGoneError(RouterError):
    """The caller closed its connection before the answer was sent."""


def refused(
    reason: RefusalReason,
    detail: str = "",
    retry_after: float | None = None,
    run_state: RunState = RunState.NOT_RUN,
) -> RefusedError:
    """Return the error that refuses a request; ``retry_after`` is in seconds."""
    return RefusedError(Refusal(reason, run_state, retry_after, detail))
