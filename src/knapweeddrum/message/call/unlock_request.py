"""A grant holder's request to its witness to unlock more of a grant."""

from __future__ import annotations

import msgspec


class UnlockRequest(msgspec.Struct, frozen=True):
    """Asks for consent to spend up to ``opened`` tokens of the grant in all."""

    grant_id: str
    budget: str
    holder: str
    opened: int
