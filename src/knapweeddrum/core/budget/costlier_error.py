"""The allocation error that costs a deployment more."""

from __future__ import annotations

import enum


class CostlierError(enum.StrEnum):
    """Overspend or false refusals; the values are those of the setting ``weigh``."""

    OVERSPEND = "overspend"
    FALSE_REFUSALS = "false_refusals"
