"""The state of one entry host."""

from __future__ import annotations

import msgspec


class HostStatus(msgspec.Struct, frozen=True):
    """``lag`` is by how many log offsets the host's configuration is behind."""

    host: str
    data_centre: str
    address: str
    alive: bool
    draining: bool
    config_offset: int
    lag: int
    incarnation: str
