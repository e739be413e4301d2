"""Classification of a finished attempt for retries, health and crash detection."""

from __future__ import annotations

from knapweeddrum.core.admission.run_end import RunEnd
from knapweeddrum.core.routing.attempt_result import AttemptResult
from knapweeddrum.endpoint.exceptions import (
    EndpointBusyError,
    EndpointConnectError,
    EndpointError,
    InvalidRequestError,
    StreamCutError,
    UnknownRunError,
    WrongStreamError,
)
from knapweeddrum.process.router.engine_attempt import EngineAttempt
from knapweeddrum.value.retry_reason import RetryReason


def retry_reason(failure: EndpointError) -> RetryReason:
    """Return the reason to count for the retry after a failure."""
    if isinstance(failure, EndpointConnectError):
        return RetryReason.CONNECT_FAILED
    if isinstance(failure, EndpointBusyError):
        return RetryReason.ENDPOINT_BUSY
    if isinstance(failure, StreamCutError | WrongStreamError):
        return RetryReason.STREAM_CUT
    return RetryReason.ENDPOINT_ERROR


def retry_after(failure: EndpointError) -> float:
    """Return the seconds that a busy engine asked to wait, 0 for other failures."""
    return failure.retry_after if isinstance(failure, EndpointBusyError) else 0.0


def run_end(attempt: EngineAttempt) -> RunEnd:
    """Return the end of a run as the crash register records it."""
    if attempt.meter.is_complete:
        return RunEnd.COMPLETED
    if attempt.failure is not None and attempt.may_have_run:
        return RunEnd.CUT
    return RunEnd.CANCELLED


def attempt_result(attempt: EngineAttempt) -> AttemptResult:
    """Return the result of an attempt for its engine's health."""
    failure = attempt.failure
    if isinstance(failure, EndpointBusyError):
        return AttemptResult.BUSY
    if isinstance(failure, InvalidRequestError | UnknownRunError):
        return AttemptResult.CANCELLED
    if failure is not None:
        return AttemptResult.FAILURE
    if attempt.meter.next_index:
        return AttemptResult.SUCCESS
    return AttemptResult.CANCELLED
