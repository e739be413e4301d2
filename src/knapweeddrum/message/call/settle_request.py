"""Settlements and returned allowances of a router."""

from __future__ import annotations

import msgspec

from knapweeddrum.message.call.allowance import Allowance
from knapweeddrum.message.call.settlement import Settlement


class SettleRequest(msgspec.Struct, frozen=True):
    """Sent until accepted.

    A keeper takes each settlement once, by request key, run and grant; the returns
    once, by ``settle_id``.
    """

    settle_id: str
    router: str
    settlements: tuple[Settlement, ...]
    returns: tuple[Allowance, ...] = ()
