"""Verdicts on a part of a model answer."""

from __future__ import annotations

import enum


class PartVerdict(enum.StrEnum):
    """Whether a part goes to the caller, and why not; the value names its counter."""

    ACCEPTED = "accepted"
    REPEATED = "repeated"
    """A part with this index was accepted before."""
    EARLY = "early"
    """Parts before this one are missing; the stream must be resumed."""
    FOREIGN = "foreign"
    """The part does not belong to the current run."""
