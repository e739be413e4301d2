"""Demand of a router for tokens of one budget."""

from __future__ import annotations

import msgspec


class TokenDemand(msgspec.Struct, frozen=True):
    """Asks for ``minimum`` tokens to admit a request, better for ``preferred``.

    ``free`` is what the router already holds and has not reserved.
    """

    budget: str
    minimum: int
    preferred: int
    free: int = 0
