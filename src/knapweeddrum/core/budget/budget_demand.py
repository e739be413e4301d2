"""The demand for one budget at a keeper."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetDemand:
    """The figures from which a policy decides how many tokens a keeper holds.

    In tokens: ``balance`` is in no grant, ``free`` is held by the keeper and not handed
    to a router or peer, ``wanted`` is needed for the draw at hand. ``rate`` is recent
    consumption in tokens per second.
    """

    balance: int
    free: int
    wanted: int
    rate: float
    live_keepers: int
