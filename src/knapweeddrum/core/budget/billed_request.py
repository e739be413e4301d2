"""What the fold remembers of a billed request."""

from __future__ import annotations

import dataclasses

from knapweeddrum.core.budget.seen_bill import SeenBill
from knapweeddrum.message.fact.bill import Bill


@dataclasses.dataclass(slots=True)
class BilledRequest:
    """The bills of one request key in the order of the log; the first run counts.

    ``time`` is the log's time (s) of the latest.
    """

    time: float
    seen: tuple[SeenBill, ...] = ()

    @property
    def run_id(self) -> str:
        """Return the run that is billed."""
        return self.seen[0].run_id

    def has_seen(self, bill: Bill) -> bool:
        """Tell whether this settler's bill of this run was folded before."""
        return any(
            (entry.run_id, entry.settler) == (bill.run_id, bill.settler)
            for entry in self.seen
        )

    def figure(self, run_id: str) -> int:
        """Return the highest figure reported for a run; 0 for a new one."""
        figures = (entry.figure for entry in self.seen if entry.run_id == run_id)
        return max(figures, default=0)

    def note(self, bill: Bill, time: float) -> None:
        """Remember a bill."""
        entry = SeenBill(bill.run_id, bill.settler, bill.figure)
        self.seen = (*self.seen, entry)
        self.time = time
