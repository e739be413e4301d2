"""The limits on its own spending that a host has written to the store."""

from __future__ import annotations

import dataclasses

from knapweeddrum.message.call.spending_record import SpendingLimit, SpendingRecord

NO_LIMIT = 2**62
"""Tokens that no organisation has."""


@dataclasses.dataclass(frozen=True, slots=True)
class _InForce:
    number: int
    since: float
    limits: dict[str, SpendingLimit]


class SpendingLimits:
    """Tells how much may be spent whichever of the written records the store has.

    A record binds from the moment it is sent: its write may be carried out without an
    answer. It binds until a later one is known to be written, or it can't be any more.
    Records are written on condition that the stream ends where the last one ended, so
    that none is carried out after a later one. Times are in monotonic seconds.
    """

    def __init__(self) -> None:
        self._in_force: list[_InForce] = []

    def begin(self, record: SpendingRecord, now: float) -> None:
        """Keep to a record that is about to be sent."""
        limits = {limit.organisation: limit for limit in record.limits}
        self._in_force.append(_InForce(record.number, now, limits))

    def confirm(self, number: int) -> None:
        """Record that a record is written; earlier ones are replaced by it."""
        self._in_force = [kept for kept in self._in_force if kept.number >= number]

    def discard(self, number: int) -> None:
        """Record that a record was not written and never will be."""
        self._in_force = [kept for kept in self._in_force if kept.number != number]

    def limit(self, organisation: str, now: float) -> int:
        """Return the tokens that may be spent in all, NO_LIMIT without a limit."""
        return min(
            (
                kept.limits[organisation].after(max(0.0, now - kept.since))
                for kept in self._in_force
                if organisation in kept.limits
            ),
            default=NO_LIMIT,
        )
