"""Reader of the hosts' heartbeats."""

from __future__ import annotations

from collections.abc import Iterable

from knapweeddrum.core.directory.fleet_size import ALONE_SECONDS
from knapweeddrum.platform.exceptions import MalformedRecordError
from knapweeddrum.platform.fleet_codec import (
    VERSIONS_KEY,
    decode_heartbeat,
    decode_version_record,
)
from knapweeddrum.platform.keyed_record import KeyedRecord
from knapweeddrum.process.entry.emptied_records import EmptiedRecords
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.fleet_view import FleetView
from knapweeddrum.process.entry.stream_follower import RecordReader
from knapweeddrum.process.entry.stream_read import StreamRead

MAX_HEARTBEAT_AGE_SECONDS = 3.0
"""Age that a heartbeat may have when it is read: its write may have been delayed."""


class HostReader(RecordReader):
    """Applies heartbeats to the host directory."""

    needs_newest_only = True

    def __init__(self, ctx: EntryContext, fleet_view: FleetView) -> None:
        self._ctx = ctx
        self._fleet_view = fleet_view
        self._emptied = EmptiedRecords(ctx)

    def apply_listing(
        self, records: Iterable[KeyedRecord], end: int, now: float
    ) -> None:
        """Apply the newest heartbeat of each host."""
        self.apply_records(records, now)

    def apply_records(self, records: Iterable[KeyedRecord], now: float) -> None:
        """Apply newer heartbeats."""
        written_at = now - MAX_HEARTBEAT_AGE_SECONDS
        for record in records:
            try:
                if record.key == VERSIONS_KEY:
                    self._ctx.version_record = decode_version_record(record)
                    continue
                host = decode_heartbeat(record)
            except MalformedRecordError as exc:
                self._ctx.record_ignored(record.key, record.offset, str(exc))
                continue
            is_news = self._ctx.hosts.apply_heartbeat(record.key, record.offset, host)
            is_own = record.key == self._ctx.settings.host_name
            if host is not None and is_news and not is_own:
                self._ctx.endpoint_limits.merge(host.limits, written_at)
            if host is not None:
                # The one of this host's earlier start too.
                self._emptied.apply_told(host, now)

    def on_store_lost(self) -> None:
        """Pause the heartbeat timeouts, as heartbeats can't be read."""
        self._ctx.hosts.store_lost()

    def on_up_to_date(self, read: StreamRead) -> None:
        """Resume the heartbeat timeouts and log a change of the ready hosts."""
        now = read.received_at
        self._ctx.hosts_read_at = now
        self._ctx.hosts.store_answered(now)
        self._fleet_view.refresh(now)
        if self._ctx.fleet_known_from is None:
            # With no other ready, all may be starting together.
            wait = 0.0 if self._ctx.hosts.ready_hosts() else ALONE_SECONDS
            self._ctx.fleet_known_from = now + wait
