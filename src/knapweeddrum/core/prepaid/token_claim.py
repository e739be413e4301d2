"""Claim of one process on an organisation's prepaid tokens."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class TokenClaim:
    """Tokens that are set aside for one incarnation.

    ``committed`` is what it had spent or reserved when it wrote the claim. It may spend
    up to ``opened`` by itself and more only with the consent of its witness. Without a
    witness all is opened.
    """

    organisation: str
    incarnation: str
    claimed: int
    committed: int
    unlocked: int
    witness: str = ""
    """Incarnation of another host, empty for none."""
