"""The state of one grant in the fold."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class GrantEntry:
    """An escrow of tokens; ``remaining`` never rises and never falls below 0.

    ``unopened_returned`` counts returned tokens that were never opened at the
    witness. ``return_ids`` lives as long as the grant, because a return that is
    counted twice would free tokens that somebody still holds.
    """

    budget: str
    holder: str
    witness: str
    granted: int
    remaining: int
    unopened_returned: int = 0
    released: bool = False
    return_ids: dict[str, None] | None = None

    def take(self, tokens: int) -> int:
        """Take up to ``tokens`` out of the grant and return how many there were."""
        taken = min(tokens, self.remaining)
        self.remaining -= taken
        return taken

    def knows_return(self, return_id: str) -> bool:
        """Tell whether the return was counted."""
        return self.return_ids is not None and return_id in self.return_ids

    def note_return(self, return_id: str) -> None:
        """Remember the return."""
        if self.return_ids is None:
            self.return_ids = {}
        self.return_ids[return_id] = None
