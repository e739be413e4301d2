"""States of a member."""

from __future__ import annotations

import enum


class MemberState(enum.StrEnum):
    """What the time since the last fresh heartbeat says of a member."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    GONE = "gone"
