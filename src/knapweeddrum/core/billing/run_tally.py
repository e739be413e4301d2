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

    def resume(self, index: int) -> None:
        """Expect part ``index`` next, unless the run is complete."""
        if not self.is_complete:
            self.next_index = index

    def note_usage(self, tokens: int) -> None:
        """Raise the cumulative figure; an older, lower one changes nothing."""
        self.tokens = max(self.tokens, tokens)

    def accept(self, index: int, final: bool) -> PartVerdict:
        """Take part ``index`` when it is the next one."""
        if self.is_complete or index < self.next_index:
            return PartVerdict.REPEATED
        if index > self.next_index:
            return PartVerdict.EARLY
        self.next_index += 1
        if final:
            self.is_complete = True
            self.is_usage_final = True
        return PartVerdict.ACCEPTED
