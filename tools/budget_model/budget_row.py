"""Figures of one run of a budget scenario."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetRow:
    """``false_exhausted`` counts the false refusals that name the budget's end."""

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
