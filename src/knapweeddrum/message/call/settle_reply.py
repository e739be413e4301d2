"""Receipt for settlements."""

from __future__ import annotations

import msgspec


class SettleReply(msgspec.Struct, frozen=True):
    """True once the keeper has the settlements on the log, false to send them again."""

    accepted: bool
