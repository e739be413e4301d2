"""Reader of the hosts' crash records."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from knapweeddrum.message.call.crash_record import CrashRecord
from knapweeddrum.platform.exceptions import MalformedRecordError
from knapweeddrum.platform.fleet_codec import decode_crash_record
from knapweeddrum.platform.keyed_record import KeyedRecord
from knapweeddrum.process.entry.crash_records import merge
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.stream_follower import RecordReader
from knapweeddrum.process.entry.stream_read import StreamRead

STORE_SOURCE = "store"


class CrashRecordReader(RecordReader):
    """Applies the records that hosts wrote to the store."""

    def __init__(self, ctx: EntryContext) -> None:
        self._ctx = ctx
        self.stored: dict[str, CrashRecord] = {}
        """Newest stored record of each request, by fingerprint."""
        self.is_store_reachable = False
        self.on_lost: Callable[[], None] | None = None
        """Called when the store can't be reached."""
        self.on_listed: Callable[[], None] | None = None
        """Called when the stored records are those of a new listing."""

    def apply_listing(
        self, records: Iterable[KeyedRecord], end: int, now: float
    ) -> None:
        """Apply all records; those missing from the listing are stored no more."""
        self.stored.clear()
        self.apply_records(records, now)
        self._ctx.crash_records_loaded = True
        if self.on_listed is not None:
            self.on_listed()

    def apply_records(self, records: Iterable[KeyedRecord], now: float) -> None:
        """Apply newer records."""
        for record in records:
            if record.value is None:
                self.stored.pop(record.key, None)
                continue
            self._apply(record)

    def on_store_lost(self) -> None:
        """Remember that other hosts have to be asked."""
        self.is_store_reachable = False
        if self.on_lost is not None:
            self.on_lost()

    def on_up_to_date(self, read: StreamRead) -> None:
        """Remember that the store has all records of hosts that reach it."""
        self.is_store_reachable = True

    def _apply(self, record: KeyedRecord) -> None:
        try:
            crash_record = decode_crash_record(record)
        except MalformedRecordError as exc:
            self._ctx.record_ignored(record.key, record.offset, str(exc))
            return
        self.stored[record.key] = crash_record
        merge(self._ctx, [crash_record], STORE_SOURCE)
