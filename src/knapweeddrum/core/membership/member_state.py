"""States of a member."""

from __future__ import annotations

import enum


class MemberState(enum.StrEnum):
    """State by the time since the newest heartbeat; GONE members count as failed."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    GONE = "gone"
