"""Reader of the service list stream."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

import anyio

from knapweeddrum.core.catalog.endpoint_entry import EndpointEntry
from knapweeddrum.core.catalog.entry_outcome import EntryOutcome
from knapweeddrum.core.placing.endpoint_states import instance_name
from knapweeddrum.platform.exceptions import MalformedRecordError
from knapweeddrum.platform.keyed_record import KeyedRecord
from knapweeddrum.platform.service_list_codec import decode_endpoint_entry
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.service_list_log import ServiceListLog
from knapweeddrum.process.entry.stream_follower import RecordReader
from knapweeddrum.process.entry.stream_read import StreamRead
from knapweeddrum.telemetry.counters import ENTRY_OUTDATED_COUNT
from knapweeddrum.telemetry.entry_events import ENDPOINT_COLD

PAST_SECONDS = 11.0
"""Time from a removal until an entry that was sent before it is removed as well."""

MIN_PAST_KEYS = 4
"""Endpoints whose records are read at least, as those that left are not listed."""


class ServiceListReader(RecordReader):
    """Applies endpoint entries to the service list and logs its changes."""

    def __init__(self, ctx: EntryContext) -> None:
        self._ctx = ctx
        self._log = ServiceListLog(ctx.service_list, ctx.events)
        self._written: set[str] = set()
        """Endpoints that wrote entries since the list was up to date."""
        self._lapse = anyio.Event()

    def apply_listing(
        self, records: Iterable[KeyedRecord], end: int, now: float
    ) -> None:
        """Apply all entries and drop endpoints that are missing from the listing."""
        known = list(records)
        for record in known:
            self._apply(record, self._ctx.service_list.apply_listed_entry, now)
        self._ctx.service_list.apply_listing({record.key for record in known}, end, now)

    def past_records(self, listed: int) -> int:
        """Return how many records tell what was removed and may be written late."""
        interval = self._ctx.settings.endpoint_heartbeat_interval
        return math.ceil(PAST_SECONDS / interval) * max(listed, MIN_PAST_KEYS)

    def apply_past(self, records: Iterable[KeyedRecord], now: float) -> None:
        """Apply what endpoints wrote and removed before a listing."""
        for record in records:
            if record.value is None:
                self._drop(record, self._ctx.service_list.apply_past_removal, now)
                continue
            self._apply(record, self._ctx.service_list.apply_listed_entry, now)

    def apply_records(self, records: Iterable[KeyedRecord], now: float) -> None:
        """Apply newer entries."""
        for record in records:
            if record.value is None:
                self._drop(record, self._ctx.service_list.apply_removal, now)
                continue
            if self._apply(record, self._ctx.service_list.apply_entry, now):
                self._written.add(record.key)

    def on_store_lost(self) -> None:
        """Keep entries that expire while the store can't be reached."""
        self._ctx.service_list.store_lost()

    def on_up_to_date(self, read: StreamRead) -> None:
        """Remove entries that were not renewed after an outage of the store."""
        now = read.received_at
        self._ctx.service_list_read_at = now
        self._ctx.service_list.store_reached(now)
        self._ctx.service_list.record_read(read.asked_at)
        self.remove_lapsed(now)
        if self._ctx.service_list.lapses_at is not None:
            self._lapse.set()
        entries = self._ctx.service_list.all()
        self._ctx.endpoint_history.observe(
            entries, read.asked_at, read.received_at, read.next_offset
        )
        self._ctx.endpoint_limits.cold.observe_read(
            self._ctx.listed_instances(), read.asked_at, read.next_offset
        )
        self._ctx.instances.observe(entries, self._written, read.asked_at)
        self._written.clear()
        self._ctx.service_list_read.set()
        self._ctx.service_list_read = anyio.Event()

    async def wait_for_lapse(self) -> None:
        """Wait until entries are listed that have lapsed."""
        await self._lapse.wait()
        self._lapse = anyio.Event()

    def remove_lapsed(self, now: float) -> None:
        """Remove the lapsed entries whose grace has passed."""
        for key in self._ctx.service_list.expire(now):
            self._log.log_lapse(key)

    def _apply(
        self,
        record: KeyedRecord,
        apply: Callable[[str, int, EndpointEntry | None, float], EntryOutcome],
        now: float,
    ) -> bool:
        """Apply an entry; return whether it tells what its endpoint wrote last."""
        entry = self._decode(record, record.value or b"")
        outcome = apply(record.key, record.offset, entry, now)
        if entry is not None and outcome is EntryOutcome.OUTDATED:
            self._ctx.metrics.count(ENTRY_OUTDATED_COUNT)
            self._log.log_outdated(record, entry, now)
            return False
        if outcome is EntryOutcome.CHANGED:
            self._log.log_change(record, entry, now)
        if entry is not None:
            self._apply_cold_time(entry, record.offset, now)
        return entry is not None

    def _apply_cold_time(self, entry: EndpointEntry, offset: int, now: float) -> None:
        cold = self._ctx.endpoint_limits.cold
        instance = instance_name(entry)
        was_cold = cold.is_called_cold(instance, now)
        cold.observe_entry(instance, entry, offset, now)
        if was_cold or not cold.is_called_cold(instance, now):
            return
        self._ctx.events.emit(
            ENDPOINT_COLD,
            endpoint=entry.endpoint_id,
            service=entry.service,
            seconds=round(cold.cold_left(instance, now) or 0.0, 3),
        )

    def _drop(
        self,
        record: KeyedRecord,
        apply: Callable[[str, int, float], bool],
        now: float,
    ) -> None:
        service_list = self._ctx.service_list
        known_for = service_list.known_for(record.key, now)
        was_lapsed = service_list.is_lapsed(record.key)
        if apply(record.key, record.offset, now):
            self._log.log_removal(record)
        elif service_list.is_lapsed(record.key) and not was_lapsed:
            self._log.log_kept(record, known_for, now)

    def _decode(self, record: KeyedRecord, body: bytes) -> EndpointEntry | None:
        try:
            return decode_endpoint_entry(record.key, body)
        except MalformedRecordError as exc:
            self._ctx.record_ignored(record.key, record.offset, str(exc))
            return None
