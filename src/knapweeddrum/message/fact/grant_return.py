"""Tokens handed back by whoever held them."""

from __future__ import annotations

from knapweeddrum.message.fact.fact import Fact


class GrantReturn(Fact, frozen=True, tag="grant_return"):
    """Unspent tokens of a grant; ``return_id`` makes a repeat harmless."""

    return_id: str
    grant_id: str
    budget: str
    tokens: int
