"""Kinds of route."""

from __future__ import annotations

import enum


class RouteKind(enum.StrEnum):
    """What may be done with a request of a route."""

    SAFE = "safe"
    """Idempotent: may run more than once."""
    UNSAFE = "unsafe"
    """Runs at most once for each attempt of the caller."""
    STREAMING = "streaming"
    """Answered by a stream of events."""
