"""A grant holder's request to its witness to unlock more of a grant."""

from __future__ import annotations

import msgspec


class UnlockRequest(msgspec.Struct, frozen=True):
    """From now on up to ``opened`` tokens of the grant may be spent by its holder."""

    grant_id: str
    budget: str
    holder: str
    opened: int
