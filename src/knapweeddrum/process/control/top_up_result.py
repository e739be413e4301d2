"""The JSON form of an accepted top-up."""

from __future__ import annotations

import msgspec


class TopUpResult(msgspec.Struct, frozen=True):
    """Tokens deposited and the balance then; ``repeated`` when it was known before."""

    topup_id: str
    budget: str
    tokens: int
    repeated: bool
    balance: int
