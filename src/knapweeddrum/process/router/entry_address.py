"""One address of an entry advice."""

from __future__ import annotations

import msgspec


class EntryAddress(msgspec.Struct, frozen=True):
    """Where callers reach the router of a host."""

    host: str
    data_centre: str
    address: str
    port: int
