"""How a run ended, as the crash register distinguishes it."""

from __future__ import annotations

import enum


class RunEnd(enum.StrEnum):
    """COMPLETED is a complete answer, CUT a stream that the endpoint broke off."""

    COMPLETED = "completed"
    CANCELLED = "cancelled"
    CUT = "cut"
