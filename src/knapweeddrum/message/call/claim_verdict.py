"""Verdicts on a claim."""

from __future__ import annotations

import enum


class ClaimVerdict(enum.StrEnum):
    """What the log's order says of a claim."""

    WON = "won"
    """The claimant, and no other, may dispatch."""
    PENDING = "pending"
    """Another claimant holds the key and has recorded no outcome."""
    DONE = "done"
    """The request ran; the reply carries its recorded answer."""
    NOT_RUN = "not_run"
    """The claimant recorded that it never dispatched; the key may be claimed anew."""
    UNKNOWN = "unknown"
    """Dispatched without an answer; never to be sent again."""
    MISMATCH = "mismatch"
    """The key was used with another request body."""
    EXPIRED = "expired"
    """The key is older than the window of the claims that are kept."""
    UNAVAILABLE = "unavailable"
    """The log can't be reached; nothing was dispatched."""
