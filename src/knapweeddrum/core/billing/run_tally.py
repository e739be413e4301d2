"""Token count and progress of one run."""

from __future__ import annotations

import dataclasses

from knapweeddrum.core.billing.part_verdict import PartVerdict


@dataclasses.dataclass(slots=True)
class RunTally:
    """Next part index and highest cumulative token count of a run."""

    next_index: int = 0
    tokens: int = 0
    is_complete: bool = False
    is_usage_final: bool = False

    def record_usage(self, tokens: int, final: bool) -> None:
        """Record a cumulative token count; a lower one is older and ignored."""
        self.tokens = max(self.tokens, tokens)
        self.is_usage_final |= final

    def accept(self, index: int, final: bool) -> PartVerdict:
        """Accept part ``index`` if it is the next one, and return the verdict."""
        if self.is_complete or index < self.next_index:
            return PartVerdict.REPEATED
        if index > self.next_index:
            return PartVerdict.EARLY
        self.next_index += 1
        self.is_complete = final
        return PartVerdict.ACCEPTED
