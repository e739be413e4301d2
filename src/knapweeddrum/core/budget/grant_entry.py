"""The state of one grant in the ledger."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class GrantEntry:
    """Tokens taken out of a budget's balance for one holder, a keeper incarnation.

    ``remaining`` tokens have not left the grant; it never increases. The holder may
    spend only tokens that ``witness``, another keeper incarnation, has unlocked.
    ``locked_returned`` counts returned tokens that were never unlocked. All
    ``return_ids`` are kept while the grant is open, because counting a return twice
    would free tokens that a process still holds.
    """

    budget: str
    holder: str
    witness: str
    granted: int
    remaining: int
    locked_returned: int = 0
    released: bool = False
    return_ids: dict[str, None] | None = None

    def take(self, tokens: int) -> int:
        """Take up to ``tokens`` out of the grant and return how many were taken."""
        taken = min(tokens, self.remaining)
        self.remaining -= taken
        return taken

    def has_return(self, return_id: str) -> bool:
        """Return whether the return was counted before."""
        return self.return_ids is not None and return_id in self.return_ids

    def record_return(self, return_id: str) -> None:
        """Record the identifier of a counted return."""
        if self.return_ids is None:
            self.return_ids = {}
        self.return_ids[return_id] = None
