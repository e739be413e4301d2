"""Priority classes of requests."""

from __future__ import annotations

import enum


class Priority(enum.IntEnum):
    """Scheduling class; a lower number is served first."""

    LIVE = 0
    SUMMARY = 1
    REVIEW = 2
