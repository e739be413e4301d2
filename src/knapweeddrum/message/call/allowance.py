"""Tokens of one grant that one process hands to another."""

from __future__ import annotations

import msgspec


class Allowance(msgspec.Struct, frozen=True):
    """Some tokens of a grant; their holder may spend, settle or return them."""

    budget: str
    grant_id: str
    tokens: int
