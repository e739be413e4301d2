"""Figures of one run of a budget scenario."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetRow:
    """Counts of requests and tokens; ``way`` names the allocation strategy.

    A refusal is false if the budget had enough unspent tokens; ``false_exhausted``
    counts the false ones with reason ``budget_exhausted``. ``stranded_tokens`` are
    those in grants of keepers that have failed.
    """

    scenario: str
    way: str
    weigh: str
    seed: int
    requests: int
    overspent_tokens: int
    false_refusals: int
    true_refusals: int
    false_exhausted: int
    stranded_tokens: int
    billed_twice: int
    unbilled: int

    def faults(self) -> dict[str, int]:
        """Return the figures that must be 0 and are not."""
        figures = {
            "overspent_tokens": self.overspent_tokens,
            "billed_twice": self.billed_twice,
            "unbilled": self.unbilled,
        }
        return {name: figure for name, figure in figures.items() if figure}
