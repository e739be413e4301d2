"""A write of a claim whose outcome is not known."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class UnresolvedClaimWrite:
    """A conditional write that may still be carried out while the log ends at ``end``.

    Until the log has moved on, no more than ``claimed`` may be spent, and nothing may
    be opened with a witness that the write replaces.
    """

    expected_end: int
    claimed: int
    replaces_witness: bool

    def with_write(self, claimed: int, replaces_witness: bool) -> UnresolvedClaimWrite:
        """Return the doubt with one more write under the same condition."""
        return UnresolvedClaimWrite(
            self.expected_end,
            min(self.claimed, claimed),
            self.replaces_witness or replaces_witness,
        )
