"""Membership exchange between two keepers."""

from __future__ import annotations

import msgspec

from knapweeddrum.message.call.crash_record import CrashRecord
from knapweeddrum.message.call.heartbeat import Heartbeat
from knapweeddrum.message.call.heartbeat_mark import HeartbeatMark


class ExchangeRequest(msgspec.Struct, frozen=True):
    """The sender's own heartbeat first, then some that it heard.

    ``known`` is the number of other hosts that the sender knows: a receiver that knows
    far more answers with more. ``wanted`` are the CRC-32 of incarnations that the
    sender has heard marks of but no heartbeat. ``crashes`` is what its host learnt of
    crashes since its last round.
    """

    heartbeats: tuple[Heartbeat, ...]
    marks: tuple[HeartbeatMark, ...] = ()
    known: int = 0
    wanted: tuple[int, ...] = ()
    crashes: tuple[CrashRecord, ...] = ()
