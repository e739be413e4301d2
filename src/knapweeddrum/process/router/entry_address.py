"""One address of the entry advice."""

from __future__ import annotations

import msgspec


class EntryAddress(msgspec.Struct, frozen=True):
    """The address at which callers reach the router of a host."""

    host: str
    data_centre: str
    address: str
    port: int
