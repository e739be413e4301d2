"""Short form of a heartbeat."""

from __future__ import annotations

import msgspec


class HeartbeatMark(msgspec.Struct, frozen=True, array_like=True):
    """What changes between two heartbeats of an incarnation.

    Relays a heartbeat to a receiver that knows the rest of it. ``incarnation_crc`` is
    the CRC-32 checksum of the incarnation. ``age`` is the time in whole seconds since
    the heartbeat left its host, as far as the sender knows. Encoded as an array, so the
    order of the fields is part of the protocol.
    """

    incarnation_crc: int
    sequence: int
    draining: bool
    config_offset: int
    age: int = 0
