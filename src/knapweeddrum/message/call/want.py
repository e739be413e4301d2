"""Demand of a router for tokens of one budget."""

from __future__ import annotations

import msgspec


class Want(msgspec.Struct, frozen=True):
    """At least ``minimum`` tokens to admit a request, better ``preferred``.

    ``free`` is what the router holds and adds to them.
    """

    budget: str
    minimum: int
    preferred: int
    free: int = 0
