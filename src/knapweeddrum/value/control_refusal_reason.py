"""Reasons for which the resource API refuses a request."""

from __future__ import annotations

import enum


class ControlRefusalReason(enum.StrEnum):
    """Why a request was refused; the value is part of its counter and problem type."""

    INVALID = "invalid"
    BODY_TOO_LARGE = "body_too_large"
    UNAUTHENTICATED = "unauthenticated"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    NOT_READY = "not_ready"
    OVERLOADED = "overloaded"
    UNKNOWN = "unknown"
    """The change may have been applied."""
