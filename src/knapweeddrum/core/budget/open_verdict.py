"""A witness's verdicts on an opening."""

from __future__ import annotations

import enum


class OpenVerdict(enum.StrEnum):
    """Whether the holder may spend up to the asked mark."""

    ALLOWED = "allowed"
    CLOSED = "closed"
    """The witness has closed the grant; no more of it may ever be spent."""
    UNKNOWN = "unknown"
    """The witness hasn't read the grant yet; ask again."""
