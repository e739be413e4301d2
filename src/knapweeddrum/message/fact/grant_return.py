"""Return of unspent grant tokens by their holder."""

from __future__ import annotations

from knapweeddrum.message.fact.fact import Fact


class GrantReturn(Fact, frozen=True, tag="grant_return"):
    """Unspent tokens that go back to the balance, once for each ``return_id``.

    ``opened`` is false for tokens that the witness never unlocked. A release by the
    witness moves those to the balance too; whichever of both comes second moves none.
    """

    return_id: str
    grant_id: str
    budget: str
    tokens: int
    opened: bool = True
