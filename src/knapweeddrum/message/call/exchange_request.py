"""Membership exchange between two keepers."""

from __future__ import annotations

import msgspec

from knapweeddrum.message.call.heartbeat import Heartbeat


class ExchangeRequest(msgspec.Struct, frozen=True):
    """The sender's own heartbeat first, then some that it heard."""

    heartbeats: tuple[Heartbeat, ...]
