"""Membership exchange between two keepers."""

from __future__ import annotations

import msgspec

from knapweeddrum.message.call.heartbeat import Heartbeat
from knapweeddrum.message.call.heartbeat_mark import HeartbeatMark


class ExchangeRequest(msgspec.Struct, frozen=True):
    """The sender's own heartbeat first, then some that it heard.

    ``known`` is the number of other hosts that the sender knows: a receiver that knows
    more answers with more.
    """

    heartbeats: tuple[Heartbeat, ...]
    marks: tuple[HeartbeatMark, ...] = ()
    known: int = 0
