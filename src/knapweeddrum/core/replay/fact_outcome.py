"""What a fold makes of one fact."""

from __future__ import annotations

import enum


class FactOutcome(enum.StrEnum):
    """The verdict of a ledger on one fact, equal at every reader."""

    ACCEPTED = "accepted"
    PARTIAL = "partial"
    """Taken in part: fewer tokens than the fact names."""
    REPEATED = "repeated"
    """Known by its identifier; nothing changed."""
    DUPLICATE_RUN = "duplicate_run"
    """A bill of a second execution: its tokens leave the grant unbilled."""
    CONFLICT = "conflict"
    """Another change or claim came first."""
    MISMATCH = "mismatch"
    """The claim key was used with another request."""
    REJECTED = "rejected"
    """Not permitted; nothing changed."""
