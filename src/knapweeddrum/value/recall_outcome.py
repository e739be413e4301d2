"""How far a host could recall what was listed before it started."""

from __future__ import annotations

import enum


class RecallOutcome(enum.StrEnum):
    """A field of log events."""

    DONE = "done"
    EXPIRED = "expired"
    """The store has deleted some of the entries."""
    UNAVAILABLE = "unavailable"
    """The store can't be reached; the host tries again."""
