"""A grant holder's request to its witness to unlock tokens of the grant.

A witness is another process whose consent the holder of a grant needs before it spends
past its unlocked limit; the witness releases the rest once the holder has failed.
"""

from __future__ import annotations

import msgspec


class OpenRequest(msgspec.Struct, frozen=True):
    """Asks for consent to spend ``opened`` tokens of the grant in all."""

    grant_id: str
    budget: str
    holder: str
    opened: int
