"""Tokens handed back by whoever held them."""

from __future__ import annotations

from knapweeddrum.message.fact.fact import Fact


class GrantReturn(Fact, frozen=True, tag="grant_return"):
    """Unspent tokens of a grant; ``return_id`` makes a repeat harmless.

    ``opened`` is false for tokens that the holder never opened at the grant's
    witness; a release by the witness frees those too, and they count once.
    """

    return_id: str
    grant_id: str
    budget: str
    tokens: int
    opened: bool = True
