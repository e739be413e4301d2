"""What an endpoint replied when it was asked for the time of its start."""

from __future__ import annotations

import enum


class StartReply(enum.StrEnum):
    """A field of log events and part of the name of a counter."""

    LISTED = "listed"
    """The start that its entry names."""
    OTHER = "other"
    """It has restarted since it wrote its entry, or before."""
    UNSTATED = "unstated"
    """It does not tell."""
    NO_REPLY = "no_reply"
    """The connection brought no reply in time."""
