"""A top-up of a prepaid budget."""

from __future__ import annotations

from knapweeddrum.message.fact.fact import Fact


class Deposit(Fact, frozen=True, tag="deposit"):
    """Tokens paid in; ``topup_id`` makes a repeat harmless."""

    topup_id: str
    budget: str
    tokens: int
