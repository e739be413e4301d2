"""A request for configuration changes."""

from __future__ import annotations

import msgspec


class ConfigRequest(msgspec.Struct, frozen=True):
    """Changes after log offset ``after``; waits up to ``wait`` seconds for one.

    ``reader`` names the asking process, which has all up to ``after`` in force.
    """

    after: int
    wait: float
    reader: str = ""
