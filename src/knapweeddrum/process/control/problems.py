"""The problems that several handlers answer with."""

from __future__ import annotations

from knapweeddrum.process.control.exceptions import ProblemError
from knapweeddrum.process.control.model.exceptions import InvalidDocumentError
from knapweeddrum.process.control.problem import Problem
from knapweeddrum.value.control_refusal_reason import ControlRefusalReason
from knapweeddrum.value.run_state import RunState

RETRY_AFTER_SECONDS = 1.0


def invalid(exc: InvalidDocumentError) -> ProblemError:
    """Return the refusal of a document with wrong fields."""
    fields = ", ".join(error.field for error in exc.errors)
    return ProblemError(
        Problem(
            ControlRefusalReason.INVALID, f"wrong value of {fields}", errors=exc.errors
        )
    )


def not_found(detail: str) -> ProblemError:
    """Return the refusal of a request for what does not exist."""
    return ProblemError(Problem(ControlRefusalReason.NOT_FOUND, detail))


def unavailable(detail: str, retry_after: float = RETRY_AFTER_SECONDS) -> ProblemError:
    """Return the refusal of a request that nobody could carry out."""
    return ProblemError(
        Problem(ControlRefusalReason.UNAVAILABLE, detail, retry_after=retry_after)
    )


def not_ready(detail: str) -> ProblemError:
    """Return the refusal while this process has no state."""
    return ProblemError(
        Problem(ControlRefusalReason.NOT_READY, detail, retry_after=RETRY_AFTER_SECONDS)
    )


def unknown(detail: str, retry_after: float = RETRY_AFTER_SECONDS) -> ProblemError:
    """Return the answer when a change may have been applied."""
    return ProblemError(
        Problem(
            ControlRefusalReason.UNKNOWN,
            detail,
            run_state=RunState.UNKNOWN,
            retry_after=retry_after,
        )
    )
