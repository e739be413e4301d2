"""A member as one node knows it."""

from __future__ import annotations

import dataclasses

from knapweeddrum.message.call.heartbeat import Heartbeat


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """The newest heartbeat of a host and when it left there, in monotonic seconds."""

    heartbeat: Heartbeat
    heard_at: float
