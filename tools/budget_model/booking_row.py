"""Figures of one run of a booking scenario."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class BookingRow:
    """Counts of requests; ``way`` names the strategy, with or without claims.

    ``answered``, ``not_run`` and ``unknown`` count the requests by the run state in
    the last reply that their caller got.
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
