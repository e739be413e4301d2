"""A grant of budget tokens to a keeper incarnation."""

from __future__ import annotations

from knapweeddrum.message.fact.fact import Fact


class Grant(Fact, frozen=True, tag="grant"):
    """Tokens wanted by ``holder``; the fold grants at most the balance at its offset.

    ``witness`` names the keeper incarnation that confirms how much of the grant has
    been opened, or is empty: then nothing but a return frees tokens of the grant.
    """

    grant_id: str
    budget: str
    holder: str
    tokens: int
    witness: str = ""
