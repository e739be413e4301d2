"""The JSON form of a problem."""

from __future__ import annotations

import math

import msgspec

from knapweeddrum.process.control.api_response import ApiResponse
from knapweeddrum.process.control.field_error import FieldError
from knapweeddrum.process.control.header import Header
from knapweeddrum.process.control.problem import Problem
from knapweeddrum.value.control_refusal_reason import ControlRefusalReason

PROBLEM_TYPE_PREFIX = "urn:knapweeddrum:control:"

STATUS_BY_REASON = {
    ControlRefusalReason.INVALID: 422,
    ControlRefusalReason.BODY_TOO_LARGE: 413,
    ControlRefusalReason.UNAUTHENTICATED: 401,
    ControlRefusalReason.NOT_FOUND: 404,
    ControlRefusalReason.METHOD_NOT_ALLOWED: 405,
    ControlRefusalReason.CONFLICT: 409,
    ControlRefusalReason.UNAVAILABLE: 503,
    ControlRefusalReason.NOT_READY: 503,
    ControlRefusalReason.OVERLOADED: 503,
    ControlRefusalReason.UNKNOWN: 504,
}
"""HTTP status of each reason."""


class ProblemDocument(msgspec.Struct, frozen=True, omit_defaults=True):
    """Problem details; members that have their default value are left out."""

    type: str
    title: str
    status: int
    detail: str
    reason: str
    run_state: str
    retry_after: float | None = None
    errors: tuple[FieldError, ...] = ()
    version: int | None = None
    offset: int | None = None


def problem_response(problem: Problem) -> ApiResponse:
    """Return the response with a problem as its body."""
    document = ProblemDocument(
        type=f"{PROBLEM_TYPE_PREFIX}{problem.reason}",
        title=problem.reason.replace("_", " "),
        status=STATUS_BY_REASON[problem.reason],
        detail=problem.detail,
        reason=problem.reason,
        run_state=problem.run_state,
        retry_after=problem.retry_after,
        errors=problem.errors,
        version=problem.version,
        offset=problem.offset,
    )
    headers: tuple[Header, ...] = ()
    if problem.retry_after is not None:
        headers = (Header("retry-after", str(math.ceil(problem.retry_after))),)
    return ApiResponse(
        status=document.status,
        body=msgspec.json.encode(document),
        content_type="application/problem+json",
        headers=headers,
    )
