"""Verdicts on a request for prepaid tokens."""

from __future__ import annotations

import enum


class TokenVerdict(enum.StrEnum):
    """Outcome of a request for tokens."""

    RESERVED = "reserved"
    EXHAUSTED = "exhausted"
    """The organisation has too few tokens left."""
    HELD_ELSEWHERE = "held_elsewhere"
    """Other hosts hold tokens that may become available."""
    UNKNOWN = "unknown"
    """The store came back from an older copy, and not all claims are known yet."""
    UNREACHABLE = "unreachable"
    """The store does not answer, and this host holds too few tokens."""
