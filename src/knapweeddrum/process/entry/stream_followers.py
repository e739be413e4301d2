"""The streams of the store that an entry process follows, and how often."""

from __future__ import annotations

from knapweeddrum.platform.streams import (
    CONFIGURATION_STREAM,
    CRASHES_STREAM,
    HOSTS_STREAM,
    SERVICE_LIST_STREAM,
)
from knapweeddrum.process.entry.configuration_reader import ConfigurationReader
from knapweeddrum.process.entry.crash_record_reader import CrashRecordReader
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.fleet_view import FleetView
from knapweeddrum.process.entry.host_reader import HostReader
from knapweeddrum.process.entry.service_list_reader import ServiceListReader
from knapweeddrum.process.entry.stream_follower import RecordReader, StreamFollower

CONFIGURATION_LONG_POLL_SECONDS = 1.0
CONFIGURATION_READ_INTERVAL_SECONDS = 0.15
SERVICE_LIST_READ_INTERVAL_SECONDS = 0.5
HOSTS_READ_INTERVAL_SECONDS = 1.5
CRASHES_LONG_POLL_SECONDS = 2.0
CRASHES_READ_INTERVAL_SECONDS = 0.2


def stream_followers(
    ctx: EntryContext,
    service_list: ServiceListReader,
    fleet_view: FleetView,
    crash_records: CrashRecordReader,
) -> list[StreamFollower]:
    """Return the followers of all streams."""
    return [
        _follower(
            ctx,
            CONFIGURATION_STREAM,
            ConfigurationReader(ctx),
            CONFIGURATION_LONG_POLL_SECONDS,
            CONFIGURATION_READ_INTERVAL_SECONDS,
        ),
        _follower(
            ctx,
            SERVICE_LIST_STREAM,
            service_list,
            0.0,
            SERVICE_LIST_READ_INTERVAL_SECONDS,
        ),
        _follower(
            ctx,
            HOSTS_STREAM,
            HostReader(ctx, fleet_view),
            0.0,
            HOSTS_READ_INTERVAL_SECONDS,
        ),
        _follower(
            ctx,
            CRASHES_STREAM,
            crash_records,
            CRASHES_LONG_POLL_SECONDS,
            CRASHES_READ_INTERVAL_SECONDS,
        ),
    ]


def _follower(
    ctx: EntryContext, stream: str, reader: RecordReader, wait: float, interval: float
) -> StreamFollower:
    return StreamFollower(ctx.store, stream, reader, ctx.events, wait, interval)
