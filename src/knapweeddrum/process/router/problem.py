"""Problem details of a refusal (RFC 9457)."""

from __future__ import annotations

import math

import msgspec

from knapweeddrum.process.router.refusal_details import DETAIL_BY_REASON
from knapweeddrum.value.refusal import Refusal
from knapweeddrum.value.refusal_reason import RefusalReason

PROBLEM_CONTENT_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:knapweeddrum:refusal:"

STATUS_BY_REASON = {
    RefusalReason.BAD_REQUEST: 400,
    RefusalReason.BODY_TOO_LARGE: 413,
    RefusalReason.UNAUTHENTICATED: 401,
    RefusalReason.UNKNOWN_ROUTE: 404,
    RefusalReason.KEY_REUSED: 422,
    RefusalReason.KEY_EXPIRED: 422,
    RefusalReason.CLAIM_PENDING: 409,
    RefusalReason.BUDGET_EXHAUSTED: 402,
    RefusalReason.BUDGET_UNREACHABLE: 503,
    RefusalReason.LOG_UNAVAILABLE: 503,
    RefusalReason.OVERLOADED: 429,
    RefusalReason.DEADLINE: 504,
    RefusalReason.DRAINING: 503,
    RefusalReason.NOT_READY: 503,
    RefusalReason.NO_ENDPOINT: 503,
    RefusalReason.ENDPOINT_FAILED: 502,
    RefusalReason.OUTCOME_UNKNOWN: 502,
    RefusalReason.POISONOUS: 422,
    RefusalReason.SUSPECTED: 503,
    RefusalReason.QUARANTINED: 503,
    RefusalReason.PART_QUARANTINED: 503,
    RefusalReason.ENDPOINTS_BACK_OFF: 503,
    RefusalReason.STREAM_VERSION_UNKNOWN: 503,
    RefusalReason.STREAM_VERSION_GONE: 503,
    RefusalReason.TRUNCATED: 502,
    RefusalReason.MOVED: 409,
    RefusalReason.BODY_LATE: 408,
    RefusalReason.HEAD_TOO_LARGE: 431,
    RefusalReason.TOKENS_HELD_ELSEWHERE: 503,
    RefusalReason.TOKENS_UNKNOWN: 503,
    RefusalReason.ENDPOINTS_LIMITED: 503,
    RefusalReason.INTERNAL_ERROR: 502,
}
"""The HTTP status for each reason."""


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """The body of a refusal; ``retry_after`` is in whole seconds."""

    type: str
    title: str
    status: int
    detail: str
    reason: str
    run_state: str
    retry_after: int | None = None

    @classmethod
    def from_refusal(cls, refusal: Refusal) -> Problem:
        """Return the problem document of a refusal."""
        reason = refusal.reason
        return cls(
            type=f"{TYPE_PREFIX}{reason.value}",
            title=reason.value.replace("_", " ").capitalize(),
            status=STATUS_BY_REASON[reason],
            detail=refusal.detail or DETAIL_BY_REASON[reason],
            reason=reason.value,
            run_state=refusal.run_state.value,
            retry_after=_whole_seconds(refusal.retry_after),
        )

    def encode(self) -> bytes:
        """Return the JSON of the problem."""
        return msgspec.json.encode(self)


def _whole_seconds(seconds: float | None) -> int | None:
    """Return the seconds for Retry-After, rounded up and at least 1."""
    if seconds is None:
        return None
    return max(1, math.ceil(seconds))
