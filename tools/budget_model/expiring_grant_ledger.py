"""Budget ledger of the unsafe strategy: unspent grants expire like leases."""

from __future__ import annotations

from knapweeddrum.core.budget.budget_ledger import BudgetLedger
from knapweeddrum.core.replay.ledger_outcome import LedgerOutcome
from knapweeddrum.message.fact.any_fact import AnyFact
from knapweeddrum.message.fact.grant import Grant
from knapweeddrum.message.fact.grant_return import GrantReturn

LEASE_SECONDS = 30.0


class ExpiringGrantLedger(BudgetLedger):
    """Returns what is left of a grant to the balance after ``LEASE_SECONDS``."""

    def __init__(self) -> None:
        super().__init__()
        self._granted_at: dict[str, float] = {}

    def apply(self, fact: AnyFact, offset: int, time: float) -> LedgerOutcome | None:
        """Release expired grants, then apply one fact."""
        for grant_id in [
            g for g, t in self._granted_at.items() if _is_expired(t, time)
        ]:
            del self._granted_at[grant_id]
            self._expire(grant_id, offset, time)
        if isinstance(fact, Grant):
            self._granted_at.setdefault(fact.grant_id, time)
        return super().apply(fact, offset, time)

    def _expire(self, grant_id: str, offset: int, time: float) -> None:
        held = {grant.grant_id: grant for grant in self.open_grants()}.get(grant_id)
        if held is None:
            return
        grant_return = GrantReturn(
            f"lapse/{grant_id}", grant_id, held.budget, held.remaining
        )
        super().apply(grant_return, offset, time)


def _is_expired(granted_at: float, now: float) -> bool:
    return now - granted_at > LEASE_SECONDS
