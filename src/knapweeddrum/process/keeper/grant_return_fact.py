"""The fact that hands an allowance back."""

from __future__ import annotations

from knapweeddrum.message.call.allowance import Allowance
from knapweeddrum.message.fact.grant_return import GrantReturn


def grant_return(
    return_id: str, allowance: Allowance, opened: bool = True
) -> GrantReturn:
    """Return the fact; ``return_id`` makes a repeat harmless."""
    return GrantReturn(
        return_id=return_id,
        grant_id=allowance.grant_id,
        budget=allowance.budget,
        tokens=allowance.tokens,
        opened=opened,
    )
