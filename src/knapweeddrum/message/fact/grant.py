"""A grant of budget tokens to a keeper incarnation."""

from __future__ import annotations

from knapweeddrum.message.fact.fact import Fact


class Grant(Fact, frozen=True, tag="grant"):
    """Requests ``tokens`` for ``holder``; the balance at its offset limits the grant.

    ``witness`` is the keeper incarnation whose consent the holder needs before it
    spends past its unlocked limit; it releases the rest once the holder has failed. If
    it is empty, only returns free tokens of the grant.
    """

    grant_id: str
    budget: str
    holder: str
    tokens: int
    witness: str = ""
