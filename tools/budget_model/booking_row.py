"""Figures of one run of a booking scenario."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class BookingRow:
    """``unknown`` counts the callers that never learnt what became of their request.

    ``not_run`` counts those that were told at last that it did not run.
    """

    scenario: str
    way: str
    seed: int
    requests: int
    booked_twice: int
    false_not_run: int
    wrong_answers: int
    answered: int
    not_run: int
    unknown: int

    def faults(self) -> dict[str, int]:
        """Return the figures that must be 0 and are not."""
        figures = {
            "booked_twice": self.booked_twice,
            "false_not_run": self.false_not_run,
            "wrong_answers": self.wrong_answers,
        }
        return {name: figure for name, figure in figures.items() if figure}
