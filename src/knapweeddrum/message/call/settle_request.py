"""Settlements and returned allowances of a router."""

from __future__ import annotations

import msgspec

from knapweeddrum.message.call.allowance import Allowance
from knapweeddrum.message.call.settlement import Settlement


class SettleRequest(msgspec.Struct, frozen=True):
    """Settlements and returns, which the router sends until they are accepted.

    A repeat is harmless: a settlement counts once by request key, run and settler, a
    return once by ``settle_id`` and its index.
    """

    settle_id: str
    router: str
    settlements: tuple[Settlement, ...]
    returns: tuple[Allowance, ...] = ()
