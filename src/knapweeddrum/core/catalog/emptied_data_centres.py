"""The data centres that operators have emptied."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from knapweeddrum.value.store_position import era_of
from knapweeddrum.value.told_data_centre import ToldDataCentre

MAX_NAMES = 64
"""Data centres that are remembered; further names that other hosts tell are ignored."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Known:
    position: int
    is_emptied: bool
    since: float


class EmptiedDataCentres:
    """Knows which data centres get no new work.

    The record at the highest position counts, whether it was read or another host told
    of it. A store that came back from an older copy may lack a record, so its listing
    takes back nothing that was emptied in an earlier era. Times are in monotonic
    seconds.
    """

    def __init__(self) -> None:
        self._known: dict[str, _Known] = {}
        self._read_end = 0
        """Position up to which all records of its era are known."""

    def is_emptied(self, name: str) -> bool:
        """Return whether a data centre gets no new work."""
        known = self._known.get(name)
        return known is not None and known.is_emptied

    def emptied_since(self) -> dict[str, float]:
        """Return the emptied data centres and when this host learnt of each."""
        return {
            name: known.since
            for name, known in sorted(self._known.items())
            if known.is_emptied
        }

    def apply(self, name: str, position: int, *, is_emptied: bool, now: float) -> bool:
        """Apply a record or its removal; return whether it is newer."""
        known = self._known.get(name)
        if known is not None and position <= known.position:
            return False
        since = now
        if known is not None and known.is_emptied and is_emptied:
            since = known.since
        self._known[name] = _Known(position, is_emptied, since)
        return True

    def apply_listing(self, names: set[str], end: int, now: float) -> list[str]:
        """Apply that a listing up to ``end`` has these names; return those taken back.

        A name that it lacks was removed, unless the listing is of another era than the
        record or ends before it: then the store may have lost the record.
        """
        taken_back = []
        for name, known in sorted(self._known.items()):
            is_comparable = era_of(end) == era_of(known.position)
            if not known.is_emptied or name in names or not is_comparable:
                continue
            if self.apply(name, end, is_emptied=False, now=now):
                taken_back.append(name)
        return taken_back

    def record_read(self, end: int) -> None:
        """Record that all records before a position are applied."""
        self._read_end = end

    def merge(self, told: Iterable[ToldDataCentre], now: float) -> list[ToldDataCentre]:
        """Apply what another host knows; return what is newer.

        A record that this host would have read itself was replaced since. A removal
        counts in any case: a host that has just started did not read it, and what it
        knows of the endpoints may be older.
        """
        news = []
        for item in told:
            is_same_era = era_of(item.position) == era_of(self._read_end)
            is_read = is_same_era and item.position < self._read_end
            if is_read and item.is_emptied:
                continue
            if item.name not in self._known and len(self._known) >= MAX_NAMES:
                continue
            if self.apply(
                item.name, item.position, is_emptied=item.is_emptied, now=now
            ):
                news.append(item)
        return news

    def told(self) -> tuple[ToldDataCentre, ...]:
        """Return what the other hosts are told.

        Data centres that were taken back are included, so that a late word of their
        emptying doesn't count.
        """
        newest = sorted(self._known.items(), key=lambda item: -item[1].position)
        return tuple(
            ToldDataCentre(name, known.position, known.is_emptied)
            for name, known in newest[:MAX_NAMES]
        )
