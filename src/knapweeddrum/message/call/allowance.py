"""Tokens of one grant that move to another process."""

from __future__ import annotations

import msgspec


class Allowance(msgspec.Struct, frozen=True):
    """A slice of a grant; whoever holds it may spend, settle or return it."""

    budget: str
    grant_id: str
    tokens: int
