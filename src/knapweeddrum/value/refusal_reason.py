"""Reasons for which a request is refused."""

from __future__ import annotations

import enum


class RefusalReason(enum.StrEnum):
    """Why a request was refused; the value is part of its counter and problem type."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    UNAUTHENTICATED = "unauthenticated"
    UNKNOWN_ROUTE = "unknown_route"
    KEY_REUSED = "key_reused"
    """The idempotency key or request identifier belongs to a different request."""
    KEY_EXPIRED = "key_expired"
    CLAIM_PENDING = "claim_pending"
    """A request with the same idempotency key is in progress."""
    BUDGET_EXHAUSTED = "budget_exhausted"
    BUDGET_UNREACHABLE = "budget_unreachable"
    """The budget may have tokens, but they can't be obtained now."""
    LOG_UNAVAILABLE = "log_unavailable"
    """The sole right to dispatch the request can't be claimed, as the log is down."""
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    DRAINING = "draining"
    NOT_READY = "not_ready"
    NO_ENDPOINT = "no_endpoint"
    ENDPOINT_FAILED = "endpoint_failed"
    OUTCOME_UNKNOWN = "outcome_unknown"
    POISONOUS = "poisonous"
    """The request is suspected of crashing the endpoints that run it."""
    TRUNCATED = "truncated"
    """The answer was cut after the caller had received some of it."""
    MOVED = "moved"
    """The caller sent the request again, and the later copy gets the answer."""
    BODY_LATE = "body_late"
    """The body of the request did not arrive in time."""
    HEAD_TOO_LARGE = "head_too_large"
    TOKENS_HELD_ELSEWHERE = "tokens_held_elsewhere"
    """Other hosts hold the last tokens, some of which may become free."""
