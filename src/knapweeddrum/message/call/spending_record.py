"""What a host writes of the tokens that it may spend, for its next incarnation."""

from __future__ import annotations

import math

import msgspec

from knapweeddrum.value.documents import Count, Measure


class MachineTime(msgspec.Struct, frozen=True):
    """A moment by the clocks of a machine, which outlive its processes."""

    boot: str
    """Identifier of the machine's start, empty if it has none."""
    since_boot: Measure
    """Seconds since then, those in which it was suspended included."""
    unix: Measure
    """Time of day in Unix seconds, which may jump."""

    def seconds_since(self, earlier: MachineTime) -> float | None:
        """Return an upper bound on the time passed, None if there is none.

        A machine that started again counts from 0, mostly under another identifier.
        """
        by_boot = self.since_boot - earlier.since_boot
        by_day = self.unix - earlier.unix
        if not self.boot or self.boot != earlier.boot or min(by_boot, by_day) < 0:
            return None
        return max(by_boot, by_day)


class SpendingLimit(msgspec.Struct, frozen=True, array_like=True):
    """Tokens of an organisation that one incarnation spends at most, in all.

    That is ``tokens`` at the time of the record and ``rate`` more each second.
    """

    organisation: str
    tokens: Count
    rate: Measure

    def after(self, seconds: float) -> int:
        """Return the limit some seconds after the record."""
        return self.tokens + math.floor(self.rate * seconds)


class SpendingRecord(msgspec.Struct, frozen=True):
    """Binds an incarnation from when it is sent until a later one is written."""

    incarnation: str
    number: Count
    """Number of the record, counted from 1."""
    era: Count
    """Era of the store; an older copy may have lost a later record."""
    at: MachineTime
    limits: tuple[SpendingLimit, ...]
    """Organisations that are missing have no limit."""
