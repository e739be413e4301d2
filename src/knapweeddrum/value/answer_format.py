"""What an answer says of the format of its body."""

from __future__ import annotations

import enum


class AnswerFormat(enum.StrEnum):
    """Whether the body is a stream of events."""

    EVENTS = "events"
    OTHER = "other"
    UNSTATED = "unstated"
