"""An entry host as membership sees it."""

from __future__ import annotations

import msgspec


class EntryHost(msgspec.Struct, frozen=True):
    """Address, state of drain and the configuration offset in force there."""

    host: str
    data_centre: str
    address: str
    router_port: int
    keeper_port: int
    control_port: int
    draining: bool
    alive: bool
    config_offset: int
    incarnation: str
