"""A conditional write of a claim whose outcome is unknown."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class UnresolvedClaimWrite:
    """A write that may still be carried out while the log ends at ``expected_end``.

    Until the log has grown past that offset, the process spends no more than
    ``claimed``, and unlocks nothing with a witness that the write replaces.
    """

    expected_end: int
    claimed: int
    replaces_witness: bool

    def with_write(self, claimed: int, replaces_witness: bool) -> UnresolvedClaimWrite:
        """Return a record that also covers one more write under the same condition."""
        return UnresolvedClaimWrite(
            self.expected_end,
            min(self.claimed, claimed),
            self.replaces_witness or replaces_witness,
        )
