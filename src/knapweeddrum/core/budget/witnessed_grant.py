"""The witness's record of a grant."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class WitnessedGrant:
    """A grant of which the holder may spend the first ``unlocked_limit`` tokens."""

    budget: str
    holder: str
    unlocked_limit: int = 0
    closed: bool = False
