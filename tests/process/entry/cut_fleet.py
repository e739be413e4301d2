"""Test harness: hosts whose links to endpoints can be cut one by one."""

from __future__ import annotations

import contextlib
import dataclasses
import itertools
import time
from collections.abc import AsyncIterator, Sequence

import anyio

from knapweeddrum.http.exceptions import ExchangeError
from tests.process.entry.entry_harness import (
    STABLE_WINDOW_MS,
    EntryHarness,
    configuration,
    entry_process,
)
from tests.standins.network_link import Cut, NetworkLink
from tests.standins.platform_store import PlatformStore, StoredStream
from tests.standins.stamped_server import StampedServer

SETTLE_SECONDS = STABLE_WINDOW_MS / 1000
"""Time after a cut from which on callers of the hosts are to be served."""

REQUEST_INTERVAL_SECONDS = 0.05
"""Interval of the requests that one host gets."""

CALLER_TIMEOUT_SECONDS = 2.0
SERVICE_LIST = "keyed.servers"


class HostView(PlatformStore):
    """The store as one host sees it: endpoints stand at the ends of its own links."""

    def __init__(self, shared: PlatformStore) -> None:
        super().__init__()
        self._shared = shared
        self._service_list = StoredStream()

    def stream(self, name: str) -> StoredStream:
        return self._service_list if name == SERVICE_LIST else self._shared.stream(name)


@dataclasses.dataclass(slots=True)
class CutHost:
    """A host, its links by the name of the service, and what callers got there."""

    process: EntryHarness
    links: dict[str, list[NetworkLink]]
    sent: list[tuple[float, bool]] = dataclasses.field(default_factory=list)
    """When each request was sent, and whether it was served."""

    def cut(self, how: Cut, *services: str) -> None:
        """Cut the links to the endpoints of some services, or of all."""
        for service in services or self.links:
            for link in self.links[service]:
                link.cut(how)

    def restore(self) -> None:
        """Restore all links."""
        for link in itertools.chain(*self.links.values()):
            link.restore()

    def served(self, since: float) -> tuple[int, int]:
        """Return how many requests sent since then were served, and how many sent."""
        results = [is_served for sent_at, is_served in self.sent if sent_at >= since]
        return sum(results), len(results)


@dataclasses.dataclass(slots=True)
class CutFleet:
    """Hosts of one store and of the same endpoints."""

    hosts: list[CutHost]
    attempts: itertools.count[int] = dataclasses.field(default_factory=itertools.count)

    async def call(self, host: CutHost, path: str) -> int:
        """Send a request; return its status, 0 if no whole answer came."""
        tokens = "35,30" if path.startswith("/query") else None
        attempt = f"attempt-{next(self.attempts)}"
        try:
            with anyio.fail_after(CALLER_TIMEOUT_SECONDS):
                answer = await host.process.call(path, attempt=attempt, tokens=tokens)
        except (ExchangeError, TimeoutError):
            return 0
        return answer.status if answer.is_complete else 0

    async def send(self, seconds: float) -> None:
        """Send requests to all hosts for some seconds, whatever became of others."""
        paths = ("/query/1", "/read/1", "/book/1")
        async with anyio.create_task_group() as tasks:
            ends_at = time.monotonic() + seconds
            for path in itertools.cycle(paths):
                if time.monotonic() >= ends_at:
                    return
                for host in self.hosts:
                    tasks.start_soon(self._send_one, host, path)
                await anyio.sleep(REQUEST_INTERVAL_SECONDS)

    async def _send_one(self, host: CutHost, path: str) -> None:
        sent_at = time.monotonic()
        status = await self.call(host, path)
        host.sent.append((sent_at, status == 200))


def is_far_worse(
    cut: Sequence[CutHost], others: Sequence[CutHost], since: float
) -> bool:
    """Return whether callers of cut hosts are served so badly that it is a failure.

    That is less than two thirds as often as those of the others, with more than ten and
    a fiftieth of all requests failing there.
    """
    served, sent = _sum(cut, since)
    served_elsewhere, sent_elsewhere = _sum(others, since)
    rate, rate_elsewhere = served / sent, served_elsewhere / sent_elsewhere
    failed = sent - served
    return rate < rate_elsewhere * 2 / 3 and failed > 10 + (sent + sent_elsewhere) / 50


def _sum(hosts: Sequence[CutHost], since: float) -> tuple[int, int]:
    results = [host.served(since) for host in hosts]
    return sum(served for served, _ in results), sum(sent for _, sent in results)


@contextlib.asynccontextmanager
async def cut_fleet(
    host_count: int,
    *,
    engines: Sequence[StampedServer] = (),
    services: Sequence[StampedServer] = (),
) -> AsyncIterator[CutFleet]:
    """Run hosts that are ready and know each other, with a link to each endpoint."""
    store = PlatformStore()
    store.put("keyed.op", "config", configuration(tenants=[]))
    async with contextlib.AsyncExitStack() as stack:
        listed = [("engine", server) for server in engines]
        listed += [("stock", server) for server in services]
        for _, server in listed:
            await stack.enter_async_context(server.serve())
        hosts = []
        for number in range(host_count):
            host = await _start_host(stack, store, listed, f"host-{number}")
            hosts.append(host)
        for host in hosts:
            await host.process.wait_until_ready()
        for host in hosts:
            await host.process.wait_until_others_are_ready(host_count - 1)
        yield CutFleet(hosts)


async def _start_host(
    stack: contextlib.AsyncExitStack,
    store: PlatformStore,
    listed: Sequence[tuple[str, StampedServer]],
    name: str,
) -> CutHost:
    view = HostView(store)
    address = await stack.enter_async_context(view.serve())
    links: dict[str, list[NetworkLink]] = {}
    for service, server in listed:
        link = NetworkLink(server.address)
        await stack.enter_async_context(link.serve())
        links.setdefault(service, []).append(link)
        entry = server.entry(service, address=link.address)
        view.put(SERVICE_LIST, server.server_id, entry)
    process = await stack.enter_async_context(entry_process(store, address, name))
    return CutHost(process, links)
