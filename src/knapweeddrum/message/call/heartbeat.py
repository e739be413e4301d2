"""A keeper's heartbeat to its peers."""

from __future__ import annotations

import msgspec

from knapweeddrum.message.call.stream_position import StreamPosition


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """Address and state of a keeper's host, sent to a few peers in each round.

    ``sequence`` increases with each heartbeat of one incarnation. ``config_offset`` is
    the log offset up to which the host has applied the configuration. Encoded as an
    array, so the order of the fields is part of the protocol.
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
