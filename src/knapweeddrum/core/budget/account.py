"""The state of one budget in the ledger."""

from __future__ import annotations

import dataclasses

from knapweeddrum.core.budget.grant_entry import GrantEntry


@dataclasses.dataclass(slots=True)
class Account:
    """Tokens of one budget: deposited = balance + held + billed + duplicate.

    ``grants`` holds the open grants, or None if there are none: most budgets are
    idle, and an empty dict takes more memory than the rest of the account.
    """

    deposited: int = 0
    balance: int = 0
    billed: int = 0
    duplicate: int = 0
    excess: int = 0
    bills: int = 0
    grants: dict[str, GrantEntry] | None = None

    @property
    def held(self) -> int:
        """Return the tokens in open grants."""
        return self.deposited - self.balance - self.billed - self.duplicate

    def add_grant(self, grant_id: str, entry: GrantEntry) -> None:
        """Add an open grant whose tokens the caller has taken out of ``balance``."""
        if self.grants is None:
            self.grants = {}
        self.grants[grant_id] = entry

    def remove_grant(self, grant_id: str) -> None:
        """Remove a grant that holds no more tokens."""
        if self.grants is None:
            return
        self.grants.pop(grant_id, None)
        if not self.grants:
            self.grants = None
