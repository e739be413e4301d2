"""Test harness: an entry process with a fake store and fake endpoints."""

from __future__ import annotations

import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import sys
import tempfile
from collections.abc import AsyncIterator

import anyio
import anyio.abc

from knapweeddrum.http.client_connection import ClientConnection
from knapweeddrum.http.header_list import Header, HeaderList
from tests.standins.platform_store import PlatformStore
from tests.standins.stamped_server import StampedServer
from tools.free_ports import free_ports

ROOT = pathlib.Path(__file__).parent.parent.parent.parent
RUN_ENTRY = ROOT / "src" / "run_entry.py"
START_TIMEOUT_SECONDS = 15.0
POLL_INTERVAL_SECONDS = 0.02
STABLE_WINDOW_MS = 3000
HOST_NAME = "desk.example"
KEY = "key-of-mill"
ORGANISATION = "mill"


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What a caller received; ``is_complete`` is False for one that broke off."""

    status: int
    headers: HeaderList
    body: bytes
    is_complete: bool = True


@dataclasses.dataclass(slots=True)
class EntryHarness:
    """A running entry process, its store and its addresses."""

    store: PlatformStore
    store_address: str
    process: anyio.abc.Process
    caller_address: str
    ready_address: str
    directory_address: str
    metrics_address: str
    lines: list[dict[str, object]]
    settings_path: pathlib.Path

    async def call(
        self,
        path: str,
        *,
        method: bytes = b"POST",
        attempt: str = "attempt-1",
        key: str | None = KEY,
        body: bytes = b"question",
        time_left_ms: int = 4000,
        tokens: str | None = None,
        prefix: str = "aa:10,bb:20,cc:5",
        extra: tuple[Header, ...] = (),
    ) -> Answer:
        """Send one request on a new connection."""
        headers: list[Header] = [
            (b"Host", HOST_NAME.encode()),
            (b"Attempt-Id", attempt.encode()),
            (b"Deadline-Ms", str(time_left_ms).encode()),
            (b"Content-Length", str(len(body)).encode()),
            *extra,
        ]
        if key is not None:
            headers.append((b"Authorization", b"Bearer " + key.encode()))
        if tokens is not None:
            headers.append((b"Token-Usage", tokens.encode()))
            headers.append((b"Prompt-Prefix", prefix.encode()))
        return await self.exchange(
            self.caller_address, method, path.encode(), headers, body
        )

    async def get(self, address: str, path: str) -> Answer:
        """Request a page."""
        return await self.exchange(
            address, b"GET", path.encode(), [(b"Host", address.encode())], b""
        )

    async def exchange(
        self,
        address: str,
        method: bytes,
        target: bytes,
        headers: list[Header],
        body: bytes,
    ) -> Answer:
        conn = await ClientConnection.connect(address, 1.0)
        received = bytearray()
        try:
            async with conn.exchange(method, target, headers, body) as head:
                try:
                    while (data := await conn.next_data()) is not None:
                        received += data
                except Exception:  # noqa: BLE001
                    return Answer(head.status, head.headers, bytes(received), False)
                return Answer(head.status, head.headers, bytes(received))
        finally:
            await conn.close()

    def events(self, name: str) -> list[dict[str, object]]:
        """Return the log lines of one event."""
        return [line for line in self.lines if line["event"] == name]

    async def wait_for_event(
        self, name: str, count: int = 1
    ) -> list[dict[str, object]]:
        """Wait until an event was logged ``count`` times."""
        while len(self.events(name)) < count:
            await anyio.sleep(POLL_INTERVAL_SECONDS)
        return self.events(name)

    async def wait_until_ready(self) -> None:
        """Wait until the process is ready."""
        with anyio.fail_after(START_TIMEOUT_SECONDS):
            while True:
                with contextlib.suppress(Exception):
                    if (await self.get(self.ready_address, "/-/ready")).status == 200:
                        return
                await anyio.sleep(POLL_INTERVAL_SECONDS)

    async def wait_until_others_are_ready(self, count: int) -> None:
        """Wait until the process knows so many other hosts that are ready."""
        with anyio.fail_after(START_TIMEOUT_SECONDS):
            while True:
                changes = self.events("hosts_changed")
                if changes and len(changes[-1]["ready"]) >= count:  # type: ignore[arg-type]
                    return
                await anyio.sleep(POLL_INTERVAL_SECONDS)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)


def configuration(version: int = 1, **changes: object) -> dict[str, object]:
    """Return a configuration; ``changes`` replace top-level keys."""
    base: dict[str, object] = {
        "version": version,
        "routes": [
            route("draft", "/draft/", "streaming", "engine", sessionAffinity=True),
            route(
                "query",
                "/query/",
                "streaming",
                "engine",
                sessionAffinity=True,
                resumable=True,
                maxAttempts=2,
            ),
            route("book", "/book/", "unsafe", "stock"),
            route("read", "/read/", "safe", "stock", maxAttempts=2),
        ],
        "services": [
            {
                "name": "engine",
                "healthPath": "/health",
                "maxConnections": 50,
                "engine": {"slots": 8, "kvTokens": 100_000, "stride": 3},
            },
            {"name": "stock", "healthPath": "/health", "maxConnections": 50},
        ],
        "limits": {
            "maxHeaderBytes": 4096,
            "maxBodyBytes": 100_000,
            "headerTimeoutMs": 1000,
            "idleTimeoutMs": 5000,
        },
        "tenants": [{"name": ORGANISATION, "apiKeys": [KEY], "prepaid": 10_000}],
    }
    return {**base, **changes}


def route(
    name: str, prefix: str, kind: str, service: str, **changes: object
) -> dict[str, object]:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": HOST_NAME,
        "pathPrefix": prefix,
        "kind": kind,
        "service": service,
        "timeoutMs": 3000,
        "targetLatencyMs": 500,
        "priority": 1,
        "maxAttempts": 1,
        "allowAnonymous": False,
        **changes,
    }


@contextlib.asynccontextmanager
async def entry_harness(
    *,
    engines: tuple[StampedServer, ...] = (),
    services: tuple[StampedServer, ...] = (),
    store: PlatformStore | None = None,
    document: dict[str, object] | None = None,
    name: str = "host-1",
    program: pathlib.Path = RUN_ENTRY,
    limits: str = "",
) -> AsyncIterator[EntryHarness]:
    """Run an entry process that is ready, with the servers in its service list."""
    store = store or PlatformStore()
    async with contextlib.AsyncExitStack() as stack:
        store_address = await stack.enter_async_context(store.serve())
        for service, servers in (("engine", engines), ("stock", services)):
            for server in servers:
                await stack.enter_async_context(server.serve())
                store.put("keyed.servers", server.server_id, server.entry(service))
        store.put("keyed.op", "config", document or configuration())
        harness = await stack.enter_async_context(
            entry_process(store, store_address, name, program=program, limits=limits)
        )
        await harness.wait_until_ready()
        yield harness


@contextlib.asynccontextmanager
async def entry_process(
    store: PlatformStore,
    store_address: str,
    name: str,
    *,
    first_start: bool = False,
    program: pathlib.Path = RUN_ENTRY,
    limits: str = "",
) -> AsyncIterator[EntryHarness]:
    """Run one entry process on free ports; ``limits`` are lines of that section."""
    ports = free_ports(5)
    addresses = [f"127.0.0.1:{port}" for port in ports]
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "host.toml"
        text = settings_text(name, store_address, addresses)
        text = f"bootstrap = {str(first_start).lower()}\n{text}\n[limits]\n{limits}"
        path.write_text(text)
        command = [
            sys.executable,
            str(program),
            "--metrics-port",
            str(ports[4]),
        ]
        env = {**os.environ, "KNAPWEEDDRUM_BOOT": str(path)}
        lines: list[dict[str, object]] = []
        async with (
            await anyio.open_process(command, env=env, stderr=None) as process,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(_collect, process, lines)
            try:
                yield EntryHarness(
                    store,
                    store_address,
                    process,
                    *addresses[:3],
                    addresses[4],
                    lines,
                    path,
                )
            finally:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                tasks.cancel_scope.cancel()


def settings_text(name: str, store_address: str, addresses: list[str]) -> str:
    """Return the settings file of a host."""
    return "\n".join(
        (
            f'nodeName = "{name}"',
            f"internalPorts = [{addresses[3].rpartition(':')[2]}, 65535]",
            'zone = "zone-a"',
            "unknown = 1",
            "[listen]",
            f'front = "{addresses[0]}"',
            f'readyAddress = "{addresses[1]}"',
            f'directory = "{addresses[2]}"',
            "[bounds]",
            "graceS = 6",
            f"stableWindowMs = {STABLE_WINDOW_MS}",
            "[platform]",
            f'address = "{store_address}"',
        )
    )


async def _collect(process: anyio.abc.Process, lines: list[dict[str, object]]) -> None:
    rest = b""
    async for data in process.stdout:
        *whole, rest = (rest + data).split(b"\n")
        lines += [json.loads(line) for line in whole]
