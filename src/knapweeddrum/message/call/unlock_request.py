"""A grant holder's request to its witness to unlock more of a grant."""

from __future__ import annotations

import msgspec


class UnlockRequest(msgspec.Struct, frozen=True):
    """Asks to raise the unlocked limit of a grant to ``opened`` tokens in all."""

    grant_id: str
    budget: str
    holder: str
    opened: int
