"""Tokens charged to one grant."""

from __future__ import annotations

import msgspec


class Charge(msgspec.Struct, frozen=True):
    """Tokens of one grant that a bill takes."""

    grant_id: str
    tokens: int
