"""Test harness: hosts before endpoints that name a limit, with callers at each host."""

from __future__ import annotations

import contextlib
import dataclasses
import itertools
from collections.abc import AsyncIterator, Sequence

import anyio

from knapweeddrum.http.exceptions import ExchangeError
from tests.process.entry.entry_harness import (
    STABLE_WINDOW_MS,
    EntryHarness,
    configuration,
    entry_process,
)
from tests.standins.platform_store import PlatformStore
from tests.standins.stamped_server import StampedServer

WINDOW_SECONDS = 4.0
CALL_INTERVAL_SECONDS = 0.2
"""Time between two requests to a host, unless a test sets another."""


def allowed(limit: float) -> float:
    """Return the requests in any window that the users' rule allows, from all hosts."""
    return 1.5 * limit * WINDOW_SECONDS + 5


@dataclasses.dataclass(slots=True)
class LimitFleet:
    """Hosts that each get requests, and endpoints that name a limit from the start."""

    store: PlatformStore
    hosts: list[EntryHarness]
    endpoints: Sequence[StampedServer]
    call_interval: float = CALL_INTERVAL_SECONDS
    _numbers: itertools.count[int] = dataclasses.field(default_factory=itertools.count)

    async def send(self, seconds: float) -> None:
        """Send requests to all hosts for some seconds."""
        with anyio.move_on_after(seconds):
            async with anyio.create_task_group() as tasks:
                for host in self.hosts:
                    tasks.start_soon(self._send_to, host)

    def worst_window(self) -> int:
        """Return the most arrivals in any window at one endpoint.

        They are counted from the stable window after the limit was first named.
        """
        return max(_most_in_a_window(_counted(server)) for server in self.endpoints)

    def used(self, limit: float, begun: float, ended: float) -> float:
        """Return the part of the limits that was used between two monotonic times."""
        arrived = sum(
            begun <= at < ended
            for server in self.endpoints
            for at in server.arrival_times
        )
        return arrived / (limit * len(self.endpoints) * (ended - begun))

    async def _send_to(self, host: EntryHarness) -> None:
        async with anyio.create_task_group() as tasks:
            while True:
                tasks.start_soon(self._call, host, f"r{next(self._numbers)}")
                await anyio.sleep(self.call_interval)

    async def _call(self, host: EntryHarness, attempt: str) -> None:
        with contextlib.suppress(ExchangeError, OSError):
            await host.call("/read/1", attempt=attempt, time_left_ms=900)


@contextlib.asynccontextmanager
async def limit_fleet(
    host_count: int, endpoints: Sequence[StampedServer]
) -> AsyncIterator[LimitFleet]:
    """Run hosts that are ready and know each other."""
    store = PlatformStore()
    async with contextlib.AsyncExitStack() as stack:
        address = await stack.enter_async_context(store.serve())
        for server in endpoints:
            await stack.enter_async_context(server.serve())
            store.put("keyed.servers", server.server_id, server.entry("stock"))
        store.put("keyed.op", "config", configuration())
        hosts = [
            await stack.enter_async_context(
                entry_process(store, address, f"host-{number}", first_start=True)
            )
            for number in range(host_count)
        ]
        for host in hosts:
            await host.wait_until_ready()
        for host in hosts:
            await host.wait_until_others_are_ready(host_count - 1)
        yield LimitFleet(store, hosts, endpoints)


def _counted(server: StampedServer) -> list[float]:
    counted_from = server.arrival_times[0] + STABLE_WINDOW_MS / 1000
    return [at for at in server.arrival_times if at >= counted_from]


def _most_in_a_window(times: list[float]) -> int:
    return max(
        (sum(1 for at in times if 0 <= at - first < WINDOW_SECONDS) for first in times),
        default=0,
    )


def limited_endpoints(count: int, limit: float) -> list[StampedServer]:
    """Return plain endpoints that name a limit in each whole answer."""
    servers = [StampedServer(f"stock-{n}", body=b"whole") for n in range(count)]
    for server in servers:
        server.limit = str(limit).encode()
    return servers
