"""Periodic work of an entry process."""

from __future__ import annotations

import pathlib
import time

import anyio

from knapweeddrum.platform.exceptions import SettingsFileError
from knapweeddrum.platform.settings_file import read_settings_file
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.telemetry import counters
from knapweeddrum.telemetry.bounded_writer import BoundedWriter
from knapweeddrum.telemetry.entry_events import (
    LINES_DROPPED,
    SETTINGS_REJECTED,
    SETTINGS_RELOADED,
)

HOUSEKEEPING_INTERVAL_SECONDS = 1.0


class HousekeepingTask:
    """Closes stale connections, flushes buffered log lines and reloads settings."""

    def __init__(
        self, ctx: EntryContext, writer: BoundedWriter, settings_path: pathlib.Path
    ) -> None:
        self._ctx = ctx
        self._writer = writer
        self._settings_path = settings_path
        self._reported_dropped = 0
        self._modified_at = _modification_time(settings_path)

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            await anyio.sleep(HOUSEKEEPING_INTERVAL_SECONDS)
            await self._close_stale_connections()
            self._ctx.reach.keep(self._ctx.listed_instances())
            self._report_dropped()
            if _modification_time(self._settings_path) != self._modified_at:
                self.reload()

    def reload(self) -> None:
        """Reload the settings file; an invalid file is logged and changes nothing."""
        self._modified_at = _modification_time(self._settings_path)
        ctx = self._ctx
        try:
            settings = read_settings_file(self._settings_path)
        except SettingsFileError as exc:
            ctx.events.emit(SETTINGS_REJECTED, error=str(exc))
            return
        changed = settings != ctx.settings
        ctx.settings = settings
        ctx.store.address = settings.store_address
        ctx.link_load.set_link(settings.link_mbps)
        ctx.apply_host_limits()
        ctx.events.emit(SETTINGS_RELOADED, changed=changed)

    async def _close_stale_connections(self) -> None:
        keep = [
            *self._ctx.endpoint_states.connection_keys(),
            *(record.peer_address for record in self._ctx.hosts.ready_hosts()),
            self._ctx.store.address,
        ]
        await self._ctx.pool.sweep(keep, time.monotonic())

    def _report_dropped(self) -> None:
        self._writer.flush()
        dropped = self._writer.dropped - self._reported_dropped
        if dropped:
            self._reported_dropped += dropped
            self._ctx.metrics.count(counters.LINES_DROPPED, dropped)
            self._ctx.events.emit(LINES_DROPPED, lines=dropped)


def _modification_time(path: pathlib.Path) -> int:
    """Return the modification time in nanoseconds, 0 if there is no file."""
    try:
        return path.stat().st_mtime_ns
    except FileNotFoundError:
        return 0
