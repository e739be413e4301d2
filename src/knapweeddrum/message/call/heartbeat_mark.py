"""The part of a heartbeat that changes from one to the next."""

from __future__ import annotations

import msgspec


class HeartbeatMark(msgspec.Struct, frozen=True, array_like=True):
    """A relayed heartbeat of an incarnation that the receiver knows.

    ``incarnation_crc`` is the CRC-32 of the incarnation's name, ``age`` the time since
    the heartbeat left its host, in whole seconds as far as the sender knows.
    """

    incarnation_crc: int
    sequence: int
    draining: bool
    config_offset: int
    age: int = 0
