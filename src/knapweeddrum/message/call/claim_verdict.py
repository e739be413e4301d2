"""Verdicts on the claim of a request."""

from __future__ import annotations

import enum


class ClaimVerdict(enum.StrEnum):
    """Result of a claim; the order of the log decides between concurrent ones."""

    WON = "won"
    """The claimant, and nobody else, may dispatch the request."""
    PENDING = "pending"
    """Another claimant holds the key and has recorded no outcome."""
    DONE = "done"
    """The request ran; the reply carries its recorded answer."""
    NOT_RUN = "not_run"
    """The claim was withdrawn before dispatch or never made; a new one may win."""
    UNKNOWN = "unknown"
    """The request was dispatched and got no answer; it must not be sent again."""
    MISMATCH = "mismatch"
    """The key was used with a different request."""
    EXPIRED = "expired"
    """The key is older than the window for which claims are kept."""
    UNAVAILABLE = "unavailable"
    """The log can't be reached; the claim is undecided and nothing was dispatched."""
