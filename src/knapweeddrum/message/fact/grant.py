"""A grant of budget tokens to a keeper incarnation."""

from __future__ import annotations

from knapweeddrum.message.fact.fact import Fact


class Grant(Fact, frozen=True, tag="grant"):
    """``tokens`` that ``holder`` requests; if the balance is less, it gets the balance.

    ``witness`` is the keeper incarnation whose consent the holder needs before it
    spends past its unlocked limit; the witness releases the rest once the holder has
    failed. Without a witness (empty), only returns move tokens back to the balance.
    """

    grant_id: str
    budget: str
    holder: str
    tokens: int
    witness: str = ""
