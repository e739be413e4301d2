"""Membership exchange between two keepers."""

from __future__ import annotations

import msgspec

from knapweeddrum.message.call.crash_record import CrashRecord
from knapweeddrum.message.call.heartbeat import Heartbeat


class ExchangeRequest(msgspec.Struct, frozen=True):
    """The sender's own heartbeat first, then some that it heard.

    ``crashes`` is what its host learnt of crashes since its last round.
    """

    heartbeats: tuple[Heartbeat, ...]
    crashes: tuple[CrashRecord, ...] = ()
