"""Stand-in for a service whose endpoints crash while they run a certain request."""

from __future__ import annotations

import contextlib
import dataclasses
import enum
import socket
import time
from collections.abc import AsyncIterator

import anyio
import anyio.abc

from knapweeddrum.http.header_list import HeaderList
from knapweeddrum.http.server_connection import ReceivedRequest, ServerConnection
from tests.standins.platform_store import PlatformStore
from tests.standins.stamped_server import (
    Behaviour,
    StampedServer,
    reset_when_closed,
)
from tests.standins.tcp_serving import serving

PORT_POLL_SECONDS = 0.02
SERVICE_LIST = "keyed.servers"
FIRST_BORN = 1_700_000_000_000


class CrashTime(enum.Enum):
    """When an endpoint crashes that runs a fatal request."""

    BEFORE_HEAD = "before_head"
    AFTER_EVENT = "after_event"
    """After the head, without a length or chunks, and one whole event."""
    INSIDE_EVENT = "inside_event"


@dataclasses.dataclass(frozen=True, slots=True)
class FatalPart:
    """A part of prompts that crashes endpoints."""

    identifier: bytes
    crash_time: CrashTime = CrashTime.BEFORE_HEAD


class CrashingEndpoint(StampedServer):
    """Crashes, with a reset of all its connections, when it runs ``fatal_body``.

    It does so too when a request has ``fatal_part`` in its prompt, and then may have
    begun its answer and end its connections in good order.

    With ``silent`` its connections stay open and nothing is sent on them, as when its
    host loses power.
    """

    def __init__(
        self,
        server_id: str,
        born: int,
        fatal_body: bytes,
        run_seconds: float,
        crash_times: list[float],
        *,
        silent: bool,
        fatal_part: FatalPart | None = None,
    ) -> None:
        super().__init__(server_id, body=b"whole")
        self._crash_times = crash_times
        self._silent = silent
        self._silent_streams: list[anyio.abc.SocketStream] = []
        self.checks_instance = True
        self.born = born
        self.crashed = anyio.Event()
        self.running: list[bytes] = []
        """Bodies of the requests that run now."""
        self._fatal_body = fatal_body
        self._fatal_part = fatal_part
        self._run_seconds = run_seconds
        self._streams: set[anyio.abc.SocketStream] = set()

    def entry(self, service: str, **changes: object) -> dict[str, object]:
        """Return the entry of this start of the endpoint."""
        return super().entry(service, born=self.born, **changes)

    def crash(self) -> None:
        """Reset all connections and stop serving."""
        if self._silent:
            self._silent_streams += self._streams
        for stream in self._streams:
            reset_when_closed(stream)
        self.crashed.set()

    async def _connection(self, stream: anyio.abc.SocketStream) -> None:
        self._streams.add(stream)
        try:
            await super()._connection(stream)
        finally:
            self._streams.discard(stream)
            if stream not in self._silent_streams:
                await anyio.aclose_forcefully(stream)

    async def _run(
        self,
        conn: ServerConnection,
        stream: anyio.abc.SocketStream,
        received: ReceivedRequest,
        behaviour: Behaviour,
    ) -> bool:
        if self.bodies[-1] == self._fatal_body:
            if not self.crashed.is_set():
                self._crash_times.append(time.monotonic())
            self.crash()
            await anyio.sleep_forever()
        part = self._fatal_part
        if part is not None and _has_part(received.headers, part.identifier):
            await self._crash_under_part(stream, received, part.crash_time)
        await self._take_time(self.bodies[-1])
        return await super()._run(conn, stream, received, behaviour)

    async def _crash_under_part(
        self,
        stream: anyio.abc.SocketStream,
        received: ReceivedRequest,
        crash_time: CrashTime,
    ) -> None:
        if not self.crashed.is_set():
            self._crash_times.append(time.monotonic())
        if crash_time is CrashTime.BEFORE_HEAD:
            self.crash()
            await anyio.sleep_forever()
        attempt = received.headers.get(b"attempt-id") or b""
        head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        head += b"Response-Stamp: stamp\r\nAttempt-Id: " + attempt + b"\r\n\r\n"
        event = b"id: 1\ndata: piece 1\n\n"
        rest = b"id: 2\nda" if crash_time is CrashTime.INSIDE_EVENT else b""
        await stream.send(head + event + rest)
        self.crashed.set()
        await anyio.sleep_forever()

    async def _take_time(self, body: bytes) -> None:
        self.running.append(body)
        try:
            await anyio.sleep(self._run_seconds)
        finally:
            self.running.remove(body)
        if self.crashed.is_set():
            await anyio.sleep_forever()


async def _wait_until_free(port: int) -> None:
    """Wait until no connection of another process uses the port of an endpoint."""
    while port:
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(("127.0.0.1", port))
            return
        await anyio.sleep(PORT_POLL_SECONDS)


def _has_part(headers: HeaderList, identifier: bytes) -> bool:
    """Return whether a part, but for the last, is in a request's prompt."""
    parts = (headers.get(b"prompt-prefix") or b"").split(b",")[:-1]
    return any(part.partition(b":")[0] == identifier for part in parts)


class CrashingService:
    """Endpoints that crash when they run ``fatal_body`` and come back with a new id.

    A crashed endpoint listens again, at its address, after ``down_seconds``. The store
    lists its earlier id until ``lapse_seconds`` after the crash.
    """

    def __init__(
        self,
        store: PlatformStore,
        service: str,
        size: int,
        *,
        fatal_body: bytes = b"fatal",
        run_seconds: float = 0.05,
        down_seconds: float = 1.0,
        lapse_seconds: float = 3.6,
        silent: bool = False,
        fatal_part: FatalPart | None = None,
        events: int = 0,
    ) -> None:
        self.fatal_body = fatal_body
        self._fatal_part = fatal_part
        self._events = events
        self.crash_times: list[float] = []
        """Monotonic time of each crash that a request caused."""
        self.endpoints: list[CrashingEndpoint] = []
        """Endpoints that serve now, by position."""
        self._store = store
        self._service = service
        self._size = size
        self._run_seconds = run_seconds
        self._down_seconds = down_seconds
        self._lapse_seconds = lapse_seconds
        self._silent = silent
        self._started = 0
        self._tasks: anyio.abc.TaskGroup

    @contextlib.asynccontextmanager
    async def serve(self) -> AsyncIterator[None]:
        """Run the endpoints."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            self.endpoints = [self._new_endpoint() for _ in range(self._size)]
            for position in range(self._size):
                await tasks.start(self._keep_running, position)
            yield
            tasks.cancel_scope.cancel()

    def late_crashes(self, window_seconds: float, counted: int = 3) -> int:
        """Return the crashes later than a time after the third, or another one."""
        if len(self.crash_times) < counted:
            return 0
        latest = self.crash_times[counted - 1] + window_seconds
        return sum(1 for crashed_at in self.crash_times if crashed_at > latest)

    def _new_endpoint(self) -> CrashingEndpoint:
        self._started += 1
        name = f"{self._service}-{self._started}"
        endpoint = CrashingEndpoint(
            name,
            FIRST_BORN + self._started,
            self.fatal_body,
            self._run_seconds,
            self.crash_times,
            silent=self._silent,
            fatal_part=self._fatal_part,
        )
        endpoint.events = self._events
        return endpoint

    async def _keep_running(
        self, position: int, *, task_status: anyio.abc.TaskStatus[None]
    ) -> None:
        port = 0
        while True:
            endpoint = self.endpoints[position]
            await _wait_until_free(port)
            async with serving(endpoint._connection, port) as address:
                endpoint.address = address
                port = int(address.rpartition(":")[2])
                entry = endpoint.entry(self._service)
                self._store.put(SERVICE_LIST, endpoint.server_id, entry)
                if task_status is not anyio.TASK_STATUS_IGNORED:
                    task_status.started()
                    task_status = anyio.TASK_STATUS_IGNORED
                await endpoint.crashed.wait()
            self._tasks.start_soon(self._lapse, endpoint.server_id)
            await anyio.sleep(self._down_seconds)
            self.endpoints[position] = self._new_endpoint()

    async def _lapse(self, server_id: str) -> None:
        await anyio.sleep(self._lapse_seconds)
        self._store.drop(SERVICE_LIST, server_id)
