"""Reply to a membership exchange."""

from __future__ import annotations

import msgspec

from knapweeddrum.message.call.heartbeat import Heartbeat
from knapweeddrum.message.call.heartbeat_mark import HeartbeatMark


class ExchangeReply(msgspec.Struct, frozen=True):
    """The answering keeper's own heartbeat first, then some that it has received.

    ``marks`` are the short forms of more heartbeats that it has received.
    """

    heartbeats: tuple[Heartbeat, ...]
    marks: tuple[HeartbeatMark, ...] = ()
