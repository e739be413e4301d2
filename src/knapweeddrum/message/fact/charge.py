"""Tokens charged to one grant."""

from __future__ import annotations

import msgspec


class Charge(msgspec.Struct, frozen=True):
    """Tokens that a bill takes out of one grant."""

    grant_id: str
    tokens: int
