"""The stream of claims in memory."""

from __future__ import annotations

from collections.abc import Sequence

from knapweeddrum.core.prepaid.token_accounts import TokenAccounts
from knapweeddrum.core.prepaid.token_claim import TokenClaim


class ClaimStream:
    """Accepts an append only at the offset where the stream ends, as the store does."""

    def __init__(self) -> None:
        self.records: list[TokenClaim] = []

    def append(self, claims: Sequence[TokenClaim], at: int) -> bool:
        """Append claims, and return whether the stream ended at ``at``."""
        if at != len(self.records):
            return False
        self.records += claims
        return True

    def apply_to(self, token_accounts: TokenAccounts) -> None:
        """Apply the new records to the accounts of a host."""
        ledger = token_accounts.ledger
        for offset in range(ledger.end, len(self.records)):
            ledger.apply(offset, self.records[offset])
        ledger.advance(len(self.records))
        token_accounts.apply_ledger()
