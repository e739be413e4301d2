"""A deposit into a prepaid budget."""

from __future__ import annotations

import msgspec


class TopUpRequest(msgspec.Struct, frozen=True):
    """Fields as in the fact ``Deposit``."""

    topup_id: str
    budget: str
    tokens: int
