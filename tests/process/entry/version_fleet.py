"""Test harness: entry processes before engines of several software versions."""

from __future__ import annotations

import contextlib
import dataclasses
import itertools
import re
from collections.abc import AsyncIterator, Callable

import anyio
import anyio.abc

from tests.process.entry.entry_harness import (
    KEY,
    ORGANISATION,
    Answer,
    EntryHarness,
    configuration,
    entry_process,
    route,
)
from tests.standins.platform_store import PlatformStore
from tests.standins.stamped_server import Behaviour, StampedServer
from tests.standins.tcp_serving import serving

EVENTS = 6
OTHER_KEY = "key-of-office"
PIECE = re.compile(rb"data: (\S+) (\d+)")
BEAT_SECONDS = 0.3
DOWN_SECONDS = 0.6
"""Time for which an engine that restarts refuses connections."""
ANSWER_TIMEOUT_SECONDS = 5.0
ONE_ATTEMPT_PATH = "/once/1"
"""Route on which the fleet sends a request to one endpoint only."""
RESUMED_PATH = "/query/1"


@dataclasses.dataclass(slots=True)
class Stream:
    """What a caller got of one stream over its attempts."""

    first_attempt: str
    answers: list[Answer]

    @property
    def versions(self) -> set[bytes]:
        """Return the versions of the engines whose events the caller got."""
        return {version for version, _ in self._pieces()}

    @property
    def is_whole(self) -> bool:
        """Return whether the caller got each event once, in order."""
        numbers = [int(number) for _, number in self._pieces()]
        return numbers == list(range(1, EVENTS + 1)) and self.answers[-1].is_complete

    @property
    def last_event(self) -> int:
        """Return the number of the last event, 0 if there is none."""
        return max((int(number) for _, number in self._pieces()), default=0)

    def _pieces(self) -> list[tuple[bytes, bytes]]:
        bodies = [answer.body for answer in self.answers if answer.status == 200]
        return [pair for body in bodies for pair in PIECE.findall(body)]


class VersionedEngine(StampedServer):
    """An engine whose events tell its software version.

    ``cuts`` decides for each request whether the stream breaks off midway.
    """

    def __init__(self, server_id: str, version: str, cuts: Callable[[], bool]) -> None:
        super().__init__(server_id, events=EVENTS)
        self.version = version
        self.piece = version.encode()
        self._cuts = cuts
        self._streams: set[anyio.abc.SocketStream] = set()
        self._ended = anyio.Event()
        self._started_again = anyio.Event()
        self._down_seconds = 0.0
        self.entry_changes: dict[str, object] = {}
        """Fields of the entry that differ from those of other engines."""
        self.beats: int | None = 1
        """Number of the last heartbeat, None once it writes none any more."""

    async def restart(self, version: str, down: float = DOWN_SECONDS) -> None:
        """Be down for so many seconds, then serve another version under the same id.

        Its entry stays as it is.
        """
        self.beats = None
        self._down_seconds = down
        self._started_again = anyio.Event()
        self._ended.set()
        await self._started_again.wait()
        self.version = version
        self.born += 1
        self.piece = version.encode()

    @contextlib.asynccontextmanager
    async def serve(self) -> AsyncIterator[str]:
        """Serve on a free port, which is kept over restarts; yield ``IP:port``."""
        async with anyio.create_task_group() as tasks:
            await tasks.start(self._keep_listening)
            yield self.address
            tasks.cancel_scope.cancel()

    async def _keep_listening(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        port = 0
        while True:
            async with serving(self._connection, port) as self.address:
                if not port:
                    task_status.started()
                port = int(self.address.rpartition(":")[2])
                self._started_again.set()
                self._ended = anyio.Event()
                await self._ended.wait()
            for stream in list(self._streams):
                await anyio.aclose_forcefully(stream)
            await anyio.sleep(self._down_seconds)

    async def _connection(self, stream: anyio.abc.SocketStream) -> None:
        self._streams.add(stream)
        await super()._connection(stream)
        self._streams.discard(stream)

    async def _run(self, conn, stream, received, behaviour):  # type: ignore[no-untyped-def]
        if self._cuts():
            behaviour = Behaviour.CUT
        return await super()._run(conn, stream, received, behaviour)


@dataclasses.dataclass(slots=True)
class VersionFleet:
    """Hosts that share a store, and engines."""

    store: PlatformStore
    store_address: str
    hosts: list[EntryHarness]
    engines: list[VersionedEngine]
    cuts_next: list[bool]
    """Whether the next streams break off; those after them are whole."""
    stack: contextlib.AsyncExitStack
    attempts: itertools.count[int] = dataclasses.field(default_factory=itertools.count)

    async def beat(self) -> None:
        """Write the entries of all engines again and again."""
        while True:
            await anyio.sleep(BEAT_SECONDS)
            for engine in self.engines:
                if engine.beats is not None:
                    engine.beats += 1
                    self.list_engine(engine, seq=engine.beats)

    def list_engine(self, engine: VersionedEngine, **changes: object) -> None:
        """Write the entry of an engine."""
        entry = engine.entry("engine", **{**engine.entry_changes, **changes})
        self.store.put("keyed.servers", engine.server_id, entry)

    async def add_engine(self, version: str) -> VersionedEngine:
        """Start an engine and wait until all hosts have listed it."""
        name = f"engine-{len(self.engines)}"
        engine = VersionedEngine(name, version, self._cuts_now)
        await self.stack.enter_async_context(engine.serve())
        self.engines.append(engine)
        self.list_engine(engine)
        for host in self.hosts:
            await self.wait_until_listed(host, name)
        return engine

    async def wait_until_listed(self, host: EntryHarness, name: str) -> None:
        """Wait until a host knows an engine."""
        with anyio.fail_after(ANSWER_TIMEOUT_SECONDS):
            while not any(
                line["endpoint"] == name for line in host.events("endpoint_listed")
            ):
                await anyio.sleep(0.02)

    async def add_host(self) -> EntryHarness:
        """Start a host and wait until it is ready and all hosts know each other."""
        name = f"host-{len(self.hosts)}"
        host = await self.stack.enter_async_context(
            entry_process(self.store, self.store_address, name)
        )
        self.hosts.append(host)
        await host.wait_until_ready()
        return host

    async def wait_until_hosts_know_each_other(self) -> None:
        """Wait until each host believes all others ready."""
        others = len(self.hosts) - 1
        for host in self.hosts if others else ():
            await host.wait_until_others_are_ready(others)

    async def run_whole(self, host: EntryHarness) -> None:
        """Send a prompt whose stream ends as it should."""
        answer = await self._call(host, ONE_ATTEMPT_PATH, f"a{next(self.attempts):x}")
        assert answer.is_complete

    async def begin(self, host: EntryHarness, path: str = ONE_ATTEMPT_PATH) -> Stream:
        """Send a prompt whose stream breaks off midway."""
        self.cuts_next[:] = [True]
        attempt = f"a{next(self.attempts):x}"
        answer = await self._call(host, path, attempt)
        return Stream(attempt, [answer])

    async def take_up(
        self,
        host: EntryHarness,
        stream: Stream,
        path: str = ONE_ATTEMPT_PATH,
        resumes: str | None = None,
        key: str = KEY,
    ) -> Answer:
        """Go on with a stream where it broke off, at any host."""
        extra = (
            (b"Resumes", (resumes or stream.first_attempt).encode()),
            (b"Last-Event-Id", str(stream.last_event).encode()),
        )
        attempt = f"a{next(self.attempts):x}"
        answer = await self._call(host, path, attempt, key=key, extra=extra)
        stream.answers.append(answer)
        return answer

    def _cuts_now(self) -> bool:
        return self.cuts_next.pop(0) if self.cuts_next else False

    async def _call(
        self,
        host: EntryHarness,
        path: str,
        attempt: str,
        *,
        key: str = KEY,
        extra: tuple[tuple[bytes, bytes], ...] = (),
    ) -> Answer:
        with anyio.fail_after(ANSWER_TIMEOUT_SECONDS):
            return await host.call(
                path,
                tokens="35,60",
                prefix=f"{attempt}:10,{attempt}f:25",
                attempt=attempt,
                key=key,
                extra=extra,
            )


def document() -> dict[str, object]:
    """Return a configuration with a route of one attempt and two organisations."""
    once = route(
        "once", "/once/", "streaming", "engine", sessionAffinity=True, resumable=True
    )
    base = configuration()
    return {
        **base,
        "routes": [once, *base["routes"]],  # type: ignore[misc]
        "tenants": [
            {"name": ORGANISATION, "apiKeys": [KEY]},
            {"name": "office", "apiKeys": [OTHER_KEY]},
        ],
    }


@contextlib.asynccontextmanager
async def version_fleet(
    host_count: int, versions: tuple[str, ...]
) -> AsyncIterator[VersionFleet]:
    """Run hosts that know each other, and an engine of each version in the list."""
    store = PlatformStore()
    async with contextlib.AsyncExitStack() as stack:
        store_address = await stack.enter_async_context(store.serve())
        store.put("keyed.op", "config", document())
        fleet = VersionFleet(store, store_address, [], [], [], stack)
        tasks = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(tasks.cancel_scope.cancel)
        tasks.start_soon(fleet.beat)
        for version in versions:
            await fleet.add_engine(version)
        for _ in range(host_count):
            await fleet.add_host()
        await fleet.wait_until_hosts_know_each_other()
        yield fleet
