"""A grant of this keeper that a witness unlocks."""

from __future__ import annotations

import dataclasses

from knapweeddrum.core.budget.grant_unlock_state import GrantUnlockState


@dataclasses.dataclass(frozen=True, slots=True)
class WitnessedHolding:
    """The witness's incarnation and the holder's record of the grant."""

    witness: str
    grant: GrantUnlockState
