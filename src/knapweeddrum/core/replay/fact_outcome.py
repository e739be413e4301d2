"""The outcome of applying one fact."""

from __future__ import annotations

import enum


class FactOutcome(enum.StrEnum):
    """The verdict of a ledger on one fact; all readers of a stream reach the same."""

    ACCEPTED = "accepted"
    PARTIAL = "partial"
    """Accepted with fewer tokens than the fact names."""
    REPEATED = "repeated"
    """A fact with this identifier was applied before; the state is unchanged."""
    DUPLICATE_RUN = "duplicate_run"
    """A bill for a second run of a request: its tokens leave the grant unbilled."""
    CONFLICT = "conflict"
    """Another change or claim is earlier in the log."""
    MISMATCH = "mismatch"
    """The claim key or top-up identifier was used before with other contents."""
    REJECTED = "rejected"
    """Not permitted; the state is unchanged."""
