"""A top-up as the resource API takes and confirms it."""

from __future__ import annotations

import msgspec


class TopUpBody(msgspec.Struct, frozen=True):
    """Body of the request."""

    topup_id: str
    budget: str
    tokens: int


class TopUpReply(msgspec.Struct, frozen=True):
    """The confirmed deposit; ``repeated`` if it had been made before."""

    topup_id: str
    budget: str
    tokens: int
    repeated: bool
    balance: int
