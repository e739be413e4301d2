"""Reader of the configuration stream."""

from __future__ import annotations

from collections.abc import Iterable

from knapweeddrum.platform.configuration_codec import decode_configuration
from knapweeddrum.platform.exceptions import MalformedRecordError
from knapweeddrum.platform.keyed_record import KeyedRecord
from knapweeddrum.platform.streams import CONFIGURATION_KEY
from knapweeddrum.process.entry.emptied_records import EmptiedRecords
from knapweeddrum.process.entry.entry_context import (
    MAX_LOGGED_ERROR_CHARS,
    EntryContext,
)
from knapweeddrum.process.entry.stream_follower import RecordReader
from knapweeddrum.process.entry.stream_read import StreamRead
from knapweeddrum.telemetry.counters import CONFIG_REJECTED_COUNT
from knapweeddrum.telemetry.entry_events import CONFIG_APPLIED, CONFIG_REJECTED
from knapweeddrum.value.store_position import offset_of


class ConfigurationReader(RecordReader):
    """Applies the newest version of the configuration; older ones are ignored."""

    needs_newest_only = True
    page_kb = 64
    """Little more than one long version, as those before the last are of no use."""

    def __init__(self, ctx: EntryContext) -> None:
        self._ctx = ctx
        self._emptied = EmptiedRecords(ctx)

    def apply_listing(
        self, records: Iterable[KeyedRecord], end: int, now: float
    ) -> None:
        """Apply the newest version and the data centres that are emptied."""
        listed = list(records)
        self._emptied.apply_listing(listed, end, now)
        self.apply_records(listed, now)

    def apply_records(self, records: Iterable[KeyedRecord], now: float) -> None:
        """Apply the last version among the records.

        Data centres are emptied first: a host that has a configuration may be ready.
        """
        newer = list(records)
        self._emptied.apply_records(newer, now)
        own = [record for record in newer if record.key == CONFIGURATION_KEY]
        if own and own[-1].value is not None:
            self._apply(own[-1], own[-1].value)

    def on_store_lost(self) -> None:
        """Keep the current version; its age is in the metrics."""

    def on_up_to_date(self, read: StreamRead) -> None:
        """Record when the configuration was last known to be current."""
        self._ctx.configuration_read_at = read.received_at
        self._ctx.emptied.record_read(read.next_offset)

    def _apply(self, record: KeyedRecord, body: bytes) -> None:
        ctx = self._ctx
        try:
            configuration = decode_configuration(body)
        except MalformedRecordError as exc:
            ctx.metrics.count(CONFIG_REJECTED_COUNT)
            ctx.events.emit(
                CONFIG_REJECTED,
                offset=offset_of(record.offset),
                error=str(exc)[:MAX_LOGGED_ERROR_CHARS],
            )
            return
        previous = ctx.configuration.version if ctx.configuration else None
        if previous is not None and configuration.version <= previous:
            return
        ctx.configuration = configuration
        ctx.endpoint_limits.cold.set_ramps(configuration.ramps)
        ctx.token_accounts.set_prepaid(
            {
                organisation.name: organisation.prepaid
                for organisation in configuration.organisations.values()
                if organisation.prepaid is not None
            }
        )
        ctx.events.emit(
            CONFIG_APPLIED,
            version=configuration.version,
            previous=previous,
            offset=offset_of(record.offset),
            routes=configuration.route_count,
        )
