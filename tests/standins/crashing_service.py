"""Stand-in for a service whose endpoints crash while they run a certain request."""

from __future__ import annotations

import contextlib
import time
from collections.abc import AsyncIterator

import anyio
import anyio.abc

from knapweeddrum.http.server_connection import ReceivedRequest, ServerConnection
from tests.standins.platform_store import PlatformStore
from tests.standins.stamped_server import (
    Behaviour,
    StampedServer,
    reset_when_closed,
)
from tests.standins.tcp_serving import serving

SERVICE_LIST = "keyed.servers"
FIRST_BORN = 1_700_000_000_000


class CrashingEndpoint(StampedServer):
    """Crashes, with a reset of all its connections, when it runs ``fatal_body``.

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
        await self._take_time(self.bodies[-1])
        return await super()._run(conn, stream, received, behaviour)

    async def _take_time(self, body: bytes) -> None:
        self.running.append(body)
        try:
            await anyio.sleep(self._run_seconds)
        finally:
            self.running.remove(body)
        if self.crashed.is_set():
            await anyio.sleep_forever()


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
    ) -> None:
        self.fatal_body = fatal_body
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

    def late_crashes(self, window_seconds: float) -> int:
        """Return the crashes later than ``window_seconds`` after the third."""
        if len(self.crash_times) < 3:
            return 0
        latest = self.crash_times[2] + window_seconds
        return sum(1 for crashed_at in self.crash_times if crashed_at > latest)

    def _new_endpoint(self) -> CrashingEndpoint:
        self._started += 1
        name = f"{self._service}-{self._started}"
        return CrashingEndpoint(
            name,
            FIRST_BORN + self._started,
            self.fatal_body,
            self._run_seconds,
            self.crash_times,
            silent=self._silent,
        )

    async def _keep_running(
        self, position: int, *, task_status: anyio.abc.TaskStatus[None]
    ) -> None:
        port = 0
        while True:
            endpoint = self.endpoints[position]
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
