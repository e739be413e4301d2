"""States of a planned stop."""

from __future__ import annotations

import enum


class DrainState(enum.StrEnum):
    """The steps of a planned stop, in order."""

    SERVING = "serving"
    LEAVING_ADVICE = "leaving_advice"
    REFUSING = "refusing"
    STOPPED = "stopped"
