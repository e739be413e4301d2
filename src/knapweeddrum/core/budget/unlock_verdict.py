"""A witness's verdicts on a request to unlock more of a grant."""

from __future__ import annotations

import enum


class UnlockVerdict(enum.StrEnum):
    """Whether the holder may spend up to the requested unlocked limit."""

    ALLOWED = "allowed"
    CLOSED = "closed"
    """The witness has closed the grant and will unlock no more of it."""
    UNKNOWN = "unknown"
    """The witness hasn't read the grant from the log yet; ask again."""
