"""Receipt for a drain request."""

from __future__ import annotations

import msgspec


class DrainReply(msgspec.Struct, frozen=True):
    """True once the keeper has taken it."""

    accepted: bool
