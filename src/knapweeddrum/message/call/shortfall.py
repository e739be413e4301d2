"""Why a demand got less than its minimum."""

from __future__ import annotations

import msgspec


class Shortfall(msgspec.Struct, frozen=True):
    """Distinguishes an exhausted budget from one whose tokens are unavailable now.

    ``exhausted`` is true if the balance and the tokens of live holders together don't
    cover the minimum. ``retry_after`` is in seconds. ``return_rest`` is true if the log
    can be reached and the balance is too small: holders then return tokens that are too
    few for their own requests, because those of several holders may serve one together.
    """

    budget: str
    exhausted: bool
    retry_after: float
    return_rest: bool = False
