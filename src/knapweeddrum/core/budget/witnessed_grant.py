"""A grant as its witness keeps it."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class WitnessedGrant:
    """Highest mark, in tokens, up to which the holder may spend."""

    budget: str
    holder: str
    opened: int = 0
    closed: bool = False
