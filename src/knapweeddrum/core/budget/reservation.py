"""Tokens set aside for one request."""

from __future__ import annotations

import dataclasses

from knapweeddrum.message.call.allowance import Allowance


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """Slices of one budget that a request may spend.

    ``number`` identifies the reservation within its pool.
    """

    number: int
    budget: str
    slices: tuple[Allowance, ...]

    @property
    def tokens(self) -> int:
        """Return the tokens set aside."""
        return sum(entry.tokens for entry in self.slices)
