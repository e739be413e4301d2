"""An entry host in the membership table of a keeper."""

from __future__ import annotations

import msgspec


class EntryHost(msgspec.Struct, frozen=True):
    """Address and state of an entry host, as a keeper knows them from heartbeats.

    ``alive`` is false once the host counts as failed. ``config_offset`` is the log
    offset up to which the host has applied the configuration. ``incarnation`` names its
    keeper.
    """

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
