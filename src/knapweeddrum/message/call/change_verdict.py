"""Verdicts on a configuration change."""

from __future__ import annotations

import enum


class ChangeVerdict(enum.StrEnum):
    """What the log's order says of a change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    """The log can't be reached and the change was not appended."""
    UNKNOWN = "unknown"
    """The change may be on the log; ask again with the same change identifier."""
