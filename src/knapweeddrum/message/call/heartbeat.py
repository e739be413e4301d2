"""A keeper's heartbeat to its peers."""

from __future__ import annotations

import msgspec

from knapweeddrum.message.call.stream_position import StreamPosition


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """Sent to a few peers a round, with the sender's view of others, newest first.

    ``sequence`` grows with each heartbeat of one incarnation; ``config_offset`` is the
    offset up to which its host has the configuration in force.
    """

    host: str
    data_centre: str
    incarnation: str
    address: str
    router_port: int
    keeper_port: int
    control_port: int
    sequence: int
    draining: bool
    config_offset: int
    positions: tuple[StreamPosition, ...] = ()
