"""The JSON response to an accepted top-up."""

from __future__ import annotations

import msgspec


class TopUpResult(msgspec.Struct, frozen=True):
    """Tokens deposited and the resulting balance.

    ``repeated`` is true when an earlier request with this identifier deposited them.
    """

    topup_id: str
    budget: str
    tokens: int
    repeated: bool
    balance: int
