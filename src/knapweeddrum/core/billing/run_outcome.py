"""How a request ended."""

from __future__ import annotations

import enum


class RunOutcome(enum.StrEnum):
    """The outcome that a bill records."""

    FINISHED = "finished"
    CANCELLED = "cancelled"
    CUT = "cut"
