"""Writes the heartbeats of this host."""

from __future__ import annotations

import time

import anyio

from knapweeddrum.platform.exceptions import AppendUnknownError, LogUnavailableError
from knapweeddrum.platform.fleet_codec import (
    encode_heartbeat,
    encode_version_record,
)
from knapweeddrum.platform.streams import HOSTS_STREAM
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.telemetry.counters import HEARTBEAT_FAILED
from knapweeddrum.telemetry.entry_events import HEARTBEATS_LOST, HEARTBEATS_WRITTEN

HEARTBEAT_INTERVAL_SECONDS = 1.5
RETRY_SECONDS = 0.25
"""Pause after a heartbeat that the store did not take."""

VERSION_RECORDERS = 3
"""Hosts, the first ready ones by name, that record the versions of services."""

CHANGE_DELAY_SECONDS = 0.2
"""Time for which changes that are to be told at once are collected."""

READINESS_POLL_SECONDS = 0.05
"""Interval between checks whether a host that starts is ready."""


class HeartbeatTask:
    """Tells the other hosts whether this one is ready."""

    def __init__(self, ctx: EntryContext) -> None:
        self._ctx = ctx
        self._announced_ready: bool | None = None
        self._written_at = time.monotonic()
        self._is_lost = False
        self._changed = anyio.Event()
        ctx.endpoint_limits.on_change = self.announce

    async def run(self) -> None:
        """Write heartbeats until cancelled."""
        while True:
            if not await self.write_heartbeat():
                await anyio.sleep(RETRY_SECONDS)
            with anyio.move_on_after(HEARTBEAT_INTERVAL_SECONDS):
                while self._ctx.is_ready == self._announced_ready:
                    if await self._wait_for_change():
                        break

    async def announce_drain(self) -> None:
        """Write a heartbeat at once, as this host has begun to drain."""
        self.announce()

    def announce(self) -> None:
        """Write a heartbeat soon, as something has changed that others need."""
        self._changed.set()

    async def write_heartbeat(self) -> bool:
        """Write one heartbeat; a failed write is counted and not retried.

        Returns whether it was written.
        """
        ctx = self._ctx
        ctx.heartbeat_number += 1
        sent_at = time.monotonic()
        record = ctx.own_record(sent_at)
        records = [encode_heartbeat(record)]
        if self._records_versions():
            version_record = ctx.endpoint_history.version_record()
            records.append(encode_version_record(version_record))
        try:
            await ctx.store.append(HOSTS_STREAM, records)
        except (LogUnavailableError, AppendUnknownError) as exc:
            ctx.metrics.count(HEARTBEAT_FAILED)
            self._record_failure(str(exc))
            return False
        self._announced_ready = record.ready
        ctx.standing.record_written(sent_at)
        self._record_success()
        return True

    def _record_failure(self, error: str) -> None:
        if self._is_lost:
            return
        self._is_lost = True
        self._ctx.events.emit(
            HEARTBEATS_LOST, error=error, written_before=self._written_before()
        )

    def _record_success(self) -> None:
        if self._is_lost:
            self._is_lost = False
            self._ctx.events.emit(
                HEARTBEATS_WRITTEN, written_before=self._written_before()
            )
        self._written_at = time.monotonic()

    def _written_before(self) -> float:
        """Return the seconds since a heartbeat was written, or since the start."""
        return round(time.monotonic() - self._written_at, 2)

    async def _wait_for_change(self) -> bool:
        """Wait until readiness may have changed; a ready host only begins to drain.

        Return whether there is something else to tell at once.
        """
        if not self._ctx.is_ready:
            await anyio.sleep(READINESS_POLL_SECONDS)
            return False
        await self._changed.wait()
        if self._ctx.is_ready:
            await anyio.sleep(CHANGE_DELAY_SECONDS)
        self._changed = anyio.Event()
        return True

    def _records_versions(self) -> bool:
        ctx = self._ctx
        if not ctx.versions_recalled:
            return False
        others = [host.name for host in ctx.hosts.ready_hosts()]
        earlier = [name for name in others if name < ctx.settings.host_name]
        return len(earlier) < VERSION_RECORDERS
