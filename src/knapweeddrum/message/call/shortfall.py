"""Why a demand got less than its minimum."""

from __future__ import annotations

import msgspec


class Shortfall(msgspec.Struct, frozen=True):
    """``exhausted`` is true when the budget has no tokens left, false when the keeper
    can't reach them now; ``retry_after`` is in seconds.
    """

    budget: str
    exhausted: bool
    retry_after: float
