"""Constructors of errors that several handlers raise."""

from __future__ import annotations

from knapweeddrum.process.control.exceptions import ProblemError
from knapweeddrum.process.control.model.exceptions import InvalidDocumentError
from knapweeddrum.process.control.problem import Problem
from knapweeddrum.value.control_refusal_reason import ControlRefusalReason
from knapweeddrum.value.run_state import RunState

DEFAULT_RETRY_AFTER_SECONDS = 1.0


def invalid(exc: InvalidDocumentError) -> ProblemError:
    """Return the error for a request with invalid fields."""
    fields = ", ".join(error.field for error in exc.errors)
    return ProblemError(
        Problem(
            ControlRefusalReason.INVALID,
            f"invalid value of {fields}",
            errors=exc.errors,
        )
    )


def not_found(detail: str) -> ProblemError:
    """Return the error for a path, resource or host that doesn't exist."""
    return ProblemError(Problem(ControlRefusalReason.NOT_FOUND, detail))


def unavailable(
    detail: str, retry_after: float = DEFAULT_RETRY_AFTER_SECONDS
) -> ProblemError:
    """Return the error for a request that no keeper could carry out."""
    return ProblemError(
        Problem(ControlRefusalReason.UNAVAILABLE, detail, retry_after=retry_after)
    )


def not_ready(detail: str) -> ProblemError:
    """Return the error while this process has no configuration or is stopping."""
    return ProblemError(
        Problem(
            ControlRefusalReason.NOT_READY,
            detail,
            retry_after=DEFAULT_RETRY_AFTER_SECONDS,
        )
    )


def outcome_unknown(
    detail: str, retry_after: float = DEFAULT_RETRY_AFTER_SECONDS
) -> ProblemError:
    """Return the error for a change that may have been applied."""
    return ProblemError(
        Problem(
            ControlRefusalReason.UNKNOWN,
            detail,
            run_state=RunState.UNKNOWN,
            retry_after=retry_after,
        )
    )
