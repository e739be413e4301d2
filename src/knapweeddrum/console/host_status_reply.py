"""The state of one host as the resource API returns it."""

from __future__ import annotations

import msgspec


class HostStatusReply(msgspec.Struct, frozen=True):
    """``lag`` is how many log offsets the host's configuration is behind."""

    host: str
    data_centre: str
    alive: bool
    draining: bool
    config_offset: int
    lag: int
    address: str = ""
    incarnation: str = ""
