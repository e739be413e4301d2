"""Verdicts on a configuration change."""

from __future__ import annotations

import enum


class ChangeVerdict(enum.StrEnum):
    """Result of a change; the order of the log decides between concurrent ones."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    """``base_version`` is not the current version of the resource."""
    UNAVAILABLE = "unavailable"
    """The log can't be reached and the change was not appended."""
    UNKNOWN = "unknown"
    """The change may be on the log; repeat it with the same change identifier."""
