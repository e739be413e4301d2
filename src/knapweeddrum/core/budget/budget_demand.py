"""What a keeper knows of the demand for one budget."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetDemand:
    """Tokens, tokens per second, and the number of live keepers.

    ``wanted`` is what requests at hand lack, ``free`` what the keeper holds and has
    handed to nobody, ``balance`` what is in no grant.
    """

    balance: int
    free: int
    wanted: int
    rate: float
    live_keepers: int
