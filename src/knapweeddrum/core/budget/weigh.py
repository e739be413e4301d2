"""Which error of allocation costs a deployment more."""

from __future__ import annotations

import enum


class Weigh(enum.StrEnum):
    """The value stands in the settings."""

    OVERSPEND = "overspend"
    FALSE_REFUSALS = "false_refusals"
