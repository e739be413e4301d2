"""Whether an answer that has ended is whole."""

from __future__ import annotations

import enum


class AnswerEnd(enum.StrEnum):
    """UNKNOWN is an end that a whole answer and a broken one have in common."""

    WHOLE = "whole"
    BROKEN_OFF = "broken_off"
    UNKNOWN = "unknown"
