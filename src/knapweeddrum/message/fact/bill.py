"""The bill of one request."""

from __future__ import annotations

from knapweeddrum.message.fact.charge import Charge
from knapweeddrum.message.fact.fact import Fact


class Bill(Fact, frozen=True, tag="bill"):
    """Tokens that the runs of a request consumed, charged to one grant or several.

    ``tokens`` is charged to ``grant_id`` and ``further`` names charges on other
    grants of the same budget. ``abandoned`` tokens of the sum were consumed by earlier
    runs of the same settler.

    Each run counts at the highest figure that any ``settler`` reports for it; a
    settler's second bill of a run is a repeat and changes nothing. The first run of a
    ``request_key`` is billed. Another run is a duplicate execution: its tokens leave
    the grant unbilled. ``outcome`` is one of ``finished``, ``cancelled`` and ``cut``.
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
    def figure(self) -> int:
        """Return the tokens of the run itself."""
        return sum(charge.tokens for charge in self.charges) - self.abandoned
