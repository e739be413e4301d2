"""What is known of one run."""

from __future__ import annotations

import dataclasses

from knapweeddrum.core.billing.part_verdict import PartVerdict


@dataclasses.dataclass(slots=True)
class RunTally:
    """Next part index, highest cumulative token figure, and what is final."""

    next_index: int = 0
    tokens: int = 0
    is_complete: bool = False
    is_usage_final: bool = False

    def note_usage(self, tokens: int, final: bool) -> None:
        """Raise the cumulative figure; an older, lower one changes nothing."""
        self.tokens = max(self.tokens, tokens)
        self.is_usage_final |= final

    def accept(self, index: int, final: bool) -> PartVerdict:
        """Take part ``index`` when it is the next one."""
        if self.is_complete or index < self.next_index:
            return PartVerdict.REPEATED
        if index > self.next_index:
            return PartVerdict.EARLY
        self.next_index += 1
        self.is_complete = final
        return PartVerdict.ACCEPTED
