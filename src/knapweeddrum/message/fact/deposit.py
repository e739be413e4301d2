"""A top-up of a prepaid budget."""

from __future__ import annotations

from knapweeddrum.message.fact.fact import Fact


class Deposit(Fact, frozen=True, tag="deposit"):
    """Tokens added to a budget; a repeat of ``topup_id`` adds nothing."""

    topup_id: str
    budget: str
    tokens: int
