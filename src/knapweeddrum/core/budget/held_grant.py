"""A grant as the fold shows it."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class HeldGrant:
    """An open grant; ``remaining`` tokens have not left it."""

    grant_id: str
    budget: str
    holder: str
    witness: str
    granted: int
    remaining: int
    released: bool
