"""A member as one keeper knows it."""

from __future__ import annotations

import dataclasses

from knapweeddrum.message.call.heartbeat import Heartbeat


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """Newest heartbeat of a host and the monotonic time at which it was sent.

    For a heartbeat this is the time of receipt, for a relayed mark that time less the
    age of the mark.
    """

    heartbeat: Heartbeat
    sent_at: float
