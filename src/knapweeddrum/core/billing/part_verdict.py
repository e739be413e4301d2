"""Verdicts on a part of an answer."""

from __future__ import annotations

import enum


class PartVerdict(enum.StrEnum):
    """What becomes of a part; the value names its counter."""

    ACCEPTED = "accepted"
    REPEATED = "repeated"
    """A part with this index was accepted before."""
    EARLY = "early"
    """Parts before this one are missing: the stream must be resumed."""
    FOREIGN = "foreign"
    """The part belongs to another run than the current one."""
