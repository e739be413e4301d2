"""What the fold remembers of a billed request."""

from __future__ import annotations

import dataclasses

from knapweeddrum.message.fact.bill import Bill


@dataclasses.dataclass(slots=True)
class BilledRequest:
    """The run that counts, its highest reported figure, and the bills seen.

    ``seen`` names bills by ``run_id`` and ``settler``; ``time`` is the log's time (s)
    of the last change.
    """

    time: float
    run_id: str
    figure: int
    seen: tuple[tuple[str, str], ...]

    def has_seen(self, bill: Bill) -> bool:
        """Tell whether this settler's bill of this run was folded before."""
        return (bill.run_id, bill.settler) in self.seen

    def note(self, bill: Bill, time: float) -> None:
        """Remember a further bill of the request."""
        self.seen = (*self.seen, (bill.run_id, bill.settler))
        self.time = time
