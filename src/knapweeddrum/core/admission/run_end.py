"""Ends of a run, as far as crashes are concerned."""

from __future__ import annotations

import enum


class RunEnd(enum.StrEnum):
    """COMPLETED is a whole answer, CUT a stream that the endpoint broke off."""

    COMPLETED = "completed"
    CANCELLED = "cancelled"
    CUT = "cut"
