"""How far one entry host has applied the configuration."""

from __future__ import annotations

import msgspec


class HostStatus(msgspec.Struct, frozen=True):
    """``lag`` is the newest known configuration's offset less ``config_offset``."""

    host: str
    data_centre: str
    address: str
    alive: bool
    draining: bool
    config_offset: int
    lag: int
    incarnation: str
