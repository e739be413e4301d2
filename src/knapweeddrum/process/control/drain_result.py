"""The JSON form of an accepted drain request."""

from __future__ import annotations

import msgspec


class DrainResult(msgspec.Struct, frozen=True):
    """What the keeper of the host has accepted."""

    host: str
    draining: bool
