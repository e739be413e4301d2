"""States of a drain."""

from __future__ import annotations

import enum


class DrainState(enum.StrEnum):
    """States of a drain, in order; see ``DrainPlan``."""

    SERVING = "serving"
    LEAVING_ADVICE = "leaving_advice"
    REFUSING = "refusing"
    STOPPED = "stopped"
