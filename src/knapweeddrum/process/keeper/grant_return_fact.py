"""The fact that returns an allowance to the balance of its budget."""

from __future__ import annotations

from knapweeddrum.message.call.allowance import Allowance
from knapweeddrum.message.fact.grant_return import GrantReturn


def grant_return(
    return_id: str, allowance: Allowance, unlocked: bool = True
) -> GrantReturn:
    """Return the fact; repeats with the same ``return_id`` are counted once."""
    return GrantReturn(
        return_id=return_id,
        grant_id=allowance.grant_id,
        budget=allowance.budget,
        tokens=allowance.tokens,
        opened=unlocked,
    )
