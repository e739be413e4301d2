"""Start or end the drain of a host."""

from __future__ import annotations

import msgspec


class DrainRequest(msgspec.Struct, frozen=True):
    """Tells the keeper of ``host`` that its host is draining, or no longer."""

    host: str
    draining: bool
