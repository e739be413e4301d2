"""The JSON response to an accepted drain request."""

from __future__ import annotations

import msgspec


class DrainResult(msgspec.Struct, frozen=True):
    """The host, and whether it drains, as its keeper has accepted."""

    host: str
    draining: bool
