"""The bill of one request."""

from __future__ import annotations

from knapweeddrum.message.fact.charge import Charge
from knapweeddrum.message.fact.fact import Fact


class Bill(Fact, frozen=True, tag="bill"):
    """Tokens that the runs of a request consumed, charged to one grant or several.

    ``tokens`` is charged to ``grant_id`` and ``further`` names charges on other
    grants of the same budget; their sum is the figure of the bill, of which
    ``abandoned`` tokens were consumed by earlier runs of the same settler.

    The first run billed of a ``request_key`` counts, at the highest figure that any
    ``settler`` reports for it; a settler's second bill of a run is a repeat and
    changes nothing. A bill of another run is a duplicate execution: its tokens leave
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
