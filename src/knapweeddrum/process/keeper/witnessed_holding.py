"""A grant of this keeper that a witness opens."""

from __future__ import annotations

import dataclasses

from knapweeddrum.core.budget.grant_unlock_state import GrantUnlockState


@dataclasses.dataclass(frozen=True, slots=True)
class WitnessedHolding:
    """The witness's incarnation and the holder's side of the grant."""

    witness: str
    grant: GrantUnlockState
