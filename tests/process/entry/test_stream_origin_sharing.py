from __future__ import annotations

import time
import types

import anyio

from knapweeddrum.core.catalog.endpoint_entry import EndpointEntry
from knapweeddrum.core.streams.endpoint_history import (
    MAX_LIST_AGE_SECONDS,
    STREAM_MEMORY_SECONDS,
    EndpointHistory,
)
from knapweeddrum.core.streams.stream_origin import StreamOrigin
from knapweeddrum.message.call.stream_origin_exchange import StreamOriginReply
from knapweeddrum.process.entry.stream_origin_sharing import (
    LIST_WAIT_SECONDS,
    StreamOriginSharing,
)
from knapweeddrum.value.host_record import HostRecord
from tests.async_test import async_test
from tests.standins.recording_event_log import RecordingEventLog

READ_AFTER_SECONDS = 0.05
DEADLINE_SECONDS = 4.0


class Host:
    """A host that reads the service list when it is told to; it has one peer."""

    def __init__(self, alone_seconds: float, peer_version: str | None = None) -> None:
        self._peer_version = peer_version
        self._history = EndpointHistory()
        self._ctx = types.SimpleNamespace(
            endpoint_history=self._history,
            events=RecordingEventLog(),
            hosts=types.SimpleNamespace(ready_hosts=self._ready_hosts),
            service_list_read=anyio.Event(),
        )
        peers = types.SimpleNamespace(
            post=self._post, is_unresponsive=lambda address: False
        )
        self._sharing = StreamOriginSharing(self._ctx, peers)
        now = time.monotonic()
        self.read("v1", asked_at=now - alone_seconds)
        self.read("v1", asked_at=now)

    def read(self, *versions: str, asked_at: float | None = None) -> None:
        """Read a list with an endpoint of each version."""
        read_at = time.monotonic() if asked_at is None else asked_at
        entries = [
            EndpointEntry(f"e{n}", "engine", "10.0.0.1:1", "a", 8, False, version)
            for n, version in enumerate(versions)
        ]
        self._history.observe(entries, read_at, read_at, 0)
        self._ctx.service_list_read.set()
        self._ctx.service_list_read = anyio.Event()

    async def find(self, *versions: str, resumes: str = "") -> StreamOrigin | None:
        """Look for the origin of a stream; meanwhile the list is read, if any."""
        now = time.monotonic()
        job = types.SimpleNamespace(
            req=types.SimpleNamespace(resumed_attempt=resumes, attempt_id="a-1"),
            route=types.SimpleNamespace(service_names=("engine",)),
            organisation_name="mill",
            arrived_at=now,
            deadline=now + DEADLINE_SECONDS,
        )
        found: list[StreamOrigin | None] = []

        async def find() -> None:
            found.append(await self._sharing.find(job))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(find)
            await anyio.sleep(READ_AFTER_SECONDS)
            if versions:
                self.read(*versions)
        return found[0]

    def _ready_hosts(self) -> list[HostRecord]:
        peer = HostRecord("host-2", "host-2/1", "", "10.0.0.2:1", "a", True, 0)
        return [peer] if self._peer_version else []

    async def _post(self, *args: object) -> StreamOriginReply:
        return StreamOriginReply(None, self._peer_version)


@async_test
async def test_stream_is_not_taken_for_one_of_the_version_that_an_older_list_has():
    """Another host had a newer list when it began the stream."""
    host = Host(STREAM_MEMORY_SECONDS + 1)
    assert await host.find("v1", "v2") is None


@async_test
async def test_stream_of_the_only_version_is_known_after_the_next_read():
    """That read has all that other hosts had when they began the stream."""
    host = Host(STREAM_MEMORY_SECONDS + 1)
    assert await host.find("v1") == StreamOrigin("engine", "v1")


@async_test
async def test_stream_is_unknown_if_the_list_is_not_read_in_time():
    """The caller isn't held until its deadline."""
    host = Host(STREAM_MEMORY_SECONDS + 1)
    started_at = time.monotonic()
    assert await host.find() is None
    assert time.monotonic() - started_at < LIST_WAIT_SECONDS + DEADLINE_SECONDS / 2


@async_test
async def test_only_version_of_another_host_counts_with_the_own_list_since():
    """The other host's list may be older than the stream."""
    young = Host(MAX_LIST_AGE_SECONDS / 2, peer_version="v1")
    assert await young.find("v1", resumes="a-0") is None
    host = Host(MAX_LIST_AGE_SECONDS + 1, peer_version="v1")
    assert await host.find("v1", "v2", resumes="a-0") is None
    host = Host(MAX_LIST_AGE_SECONDS + 1, peer_version="v1")
    assert await host.find("v1", resumes="a-0") == StreamOrigin("engine", "v1")
