"""An open grant as the ledger reports it."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class HeldGrant:
    """An open grant; ``remaining`` of ``granted`` tokens have not left it.

    ``released`` tells whether the witness has released the locked tokens.
    """

    grant_id: str
    budget: str
    holder: str
    witness: str
    granted: int
    remaining: int
    released: bool
