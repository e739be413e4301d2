"""Applies operators' records of emptied data centres."""

from __future__ import annotations

from collections.abc import Iterable

from knapweeddrum.platform.keyed_record import KeyedRecord
from knapweeddrum.platform.streams import EMPTIED_KEY_PREFIX
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.telemetry.entry_events import (
    DATA_CENTRE_EMPTIED,
    DATA_CENTRE_TAKEN_BACK,
)
from knapweeddrum.value.host_record import HostRecord
from knapweeddrum.value.store_position import offset_of

STORE = "store"
"""Source, in log lines, of what this host read itself."""


class EmptiedRecords:
    """Applies what the store and other hosts say of emptied data centres."""

    def __init__(self, ctx: EntryContext) -> None:
        self._ctx = ctx

    def apply_listing(
        self, records: Iterable[KeyedRecord], end: int, now: float
    ) -> None:
        """Take back the data centres that a listing of the stream lacks."""
        names = {name for record in records if (name := _name(record))}
        for name in self._ctx.emptied.apply_listing(names, end, now):
            self._report(name, end, STORE, is_emptied=False)
            self._ctx.endpoint_limits.cold.take_back(name, now)

    def apply_records(self, records: Iterable[KeyedRecord], now: float) -> None:
        """Apply the records that name data centres."""
        for record in records:
            name = _name(record)
            if not name:
                continue
            is_emptied = record.value is not None
            emptied = self._ctx.emptied
            was_emptied = emptied.is_emptied(name)
            is_newer = emptied.apply(
                name, record.offset, is_emptied=is_emptied, now=now
            )
            if is_newer and was_emptied != is_emptied:
                self._report(name, record.offset, STORE, is_emptied=is_emptied)
            if is_newer and not is_emptied:
                # Also if this host never read the record: others did.
                self._ctx.endpoint_limits.cold.take_back(name, now)

    def apply_told(self, host: HostRecord, now: float) -> None:
        """Apply what another host knows."""
        before = self._ctx.emptied.emptied_since()
        for told in self._ctx.emptied.merge(host.emptied, now):
            is_emptied = told.is_emptied
            if is_emptied != (told.name in before):
                self._report(told.name, told.position, host.name, is_emptied=is_emptied)
            if not is_emptied:
                self._ctx.endpoint_limits.cold.take_back(told.name, now)

    def _report(
        self, name: str, position: int, told_by: str, *, is_emptied: bool
    ) -> None:
        event = DATA_CENTRE_EMPTIED if is_emptied else DATA_CENTRE_TAKEN_BACK
        self._ctx.events.emit(
            event, data_centre=name, offset=offset_of(position), told_by=told_by
        )


def _name(record: KeyedRecord) -> str:
    """Return the data centre that a record names, empty for another record."""
    if not record.key.startswith(EMPTIED_KEY_PREFIX):
        return ""
    return record.key.removeprefix(EMPTIED_KEY_PREFIX)
