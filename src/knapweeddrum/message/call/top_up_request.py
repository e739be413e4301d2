"""A deposit into a prepaid budget."""

from __future__ import annotations

import msgspec


class TopUpRequest(msgspec.Struct, frozen=True):
    """A deposit to append; the fields are those of the fact Deposit."""

    topup_id: str
    budget: str
    tokens: int
