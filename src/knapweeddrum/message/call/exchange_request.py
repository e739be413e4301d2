"""Membership exchange between two keepers."""

from __future__ import annotations

import msgspec

from knapweeddrum.message.call.crash_record import CrashRecord
from knapweeddrum.message.call.heartbeat import Heartbeat
from knapweeddrum.message.call.heartbeat_mark import HeartbeatMark


class ExchangeRequest(msgspec.Struct, frozen=True):
    """The sender's own heartbeat first, then some that it has received.

    ``marks`` are the short forms of more heartbeats that it has received. ``known`` is
    the number of other hosts that the sender knows; a receiver that knows more than
    twice as many adds heartbeats to its reply. ``wanted`` are the CRC-32 checksums of
    incarnations of which the sender has received marks but no heartbeat. ``crashes``
    are the crash records that changed at the sender since its last round.
    """

    heartbeats: tuple[Heartbeat, ...]
    marks: tuple[HeartbeatMark, ...] = ()
    known: int = 0
    wanted: tuple[int, ...] = ()
    crashes: tuple[CrashRecord, ...] = ()
