"""Why a demand got less than its minimum."""

from __future__ import annotations

import msgspec


class Shortfall(msgspec.Struct, frozen=True):
    """Tells an empty budget from one whose tokens can't be had now.

    ``exhausted`` is true when no live holder has tokens left either; ``retry_after`` is
    in seconds. With ``return_rest`` the log can be reached and has too few tokens: a
    holder whose rest is too small for its requests returns it, because the rests of
    several may serve one together.
    """

    budget: str
    exhausted: bool
    retry_after: float
    return_rest: bool = False
