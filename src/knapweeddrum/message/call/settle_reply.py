"""Acknowledgement of settlements and returned allowances."""

from __future__ import annotations

import msgspec


class SettleReply(msgspec.Struct, frozen=True):
    """``accepted`` is true once all are on the log; otherwise send them again."""

    accepted: bool
