"""A settlement on the log: what the runs of a request consumed."""

from __future__ import annotations

from knapweeddrum.message.fact.charge import Charge
from knapweeddrum.message.fact.fact import Fact


class Bill(Fact, frozen=True, tag="bill"):
    """Tokens that the runs of a request consumed, charged to one grant or several.

    ``tokens`` are charged to ``grant_id``, and ``further`` are charges on other grants
    of the same budget. Of their sum, ``abandoned`` tokens were consumed by earlier runs
    of the same request at this settler, the rest by ``run_id``.

    Each run counts with the highest total that any ``settler`` reports for it; a second
    bill of a run by the same settler is a repeat and changes nothing. The first run of
    a ``request_key`` is billed. Any other run is a duplicate execution: its tokens
    leave the grant but are not billed. ``outcome`` is ``finished``, ``cancelled`` or
    ``cut``.
    """

    request_key: str
    run_id: str
    budget: str
    grant_id: str
    tokens: int
    outcome: str
    settler: str = ""
    further: tuple[Charge, ...] = ()
    abandoned: int = 0

    @property
    def charges(self) -> tuple[Charge, ...]:
        """Return all charges, the one on ``grant_id`` first."""
        return (Charge(grant_id=self.grant_id, tokens=self.tokens), *self.further)

    @property
    def run_tokens(self) -> int:
        """Return the tokens that ``run_id`` consumed, without ``abandoned``."""
        return sum(charge.tokens for charge in self.charges) - self.abandoned
