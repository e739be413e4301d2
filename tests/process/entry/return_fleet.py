"""Test harness: hosts that spend tokens while the store loses its newest part."""

from __future__ import annotations

import contextlib
import dataclasses
import itertools
from collections.abc import AsyncIterator, Sequence

import anyio

from knapweeddrum.http.exceptions import ExchangeError
from knapweeddrum.process.entry.entry_context import FRESH_SECONDS
from tests.process.entry.entry_harness import (
    EntryHarness,
    configuration,
    entry_process,
)
from tests.standins.platform_store import PlatformStore
from tests.standins.stamped_server import StampedServer

PREPAID_TOKENS = 100_000
REQUEST_TOKENS = 1_000
OUTPUT_TOKENS = 10
REQUEST_INTERVAL_SECONDS = 0.05
HOST_COUNT = 3
AWAY_SECONDS = 0.5


@dataclasses.dataclass(slots=True)
class ReturnFleet:
    """Hosts in turn get requests of one organisation, each of REQUEST_TOKENS."""

    store: PlatformStore
    store_address: str
    engine: StampedServer
    hosts: list[EntryHarness]
    stack: contextlib.AsyncExitStack
    statuses: list[int] = dataclasses.field(default_factory=list)
    _numbers: itertools.count[int] = dataclasses.field(default_factory=itertools.count)

    @property
    def tokens_run(self) -> int:
        """Return the prompt tokens of all requests that an endpoint has run."""
        return len(self.engine.runs) * (REQUEST_TOKENS - OUTPUT_TOKENS)

    async def send(self, seconds: float) -> list[int]:
        """Send requests for some seconds; return the statuses, 0 without an answer."""
        begun = len(self.statuses)
        with anyio.move_on_after(seconds):
            while True:
                number = next(self._numbers)
                await self._send_one(self.hosts[number % len(self.hosts)], number)
                await anyio.sleep(REQUEST_INTERVAL_SECONDS)
        return self.statuses[begun:]

    async def return_store(self, age: float, away: float = AWAY_SECONDS) -> None:
        """Let the store come back from a copy while requests go on."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.store.return_from_copy, age, away)
            await self.send(away)

    async def kill(self, positions: Sequence[int]) -> None:
        """Kill hosts that run; the others keep their positions."""
        for position in positions:
            with contextlib.suppress(ProcessLookupError):
                self.hosts[position].process.kill()
            await self.hosts[position].process.wait()

    async def replace(self, positions: Sequence[int]) -> None:
        """Kill hosts and start others under their names."""
        await self.kill(positions)
        for position in positions:
            self.hosts[position] = await self.stack.enter_async_context(
                entry_process(self.store, self.store_address, f"host-{position}")
            )
        for position in positions:
            await self.hosts[position].wait_until_ready()

    def remove(self, position: int) -> None:
        """Send no more requests to a host."""
        del self.hosts[position]

    async def _send_one(self, host: EntryHarness, number: int) -> None:
        tokens = f"{REQUEST_TOKENS - OUTPUT_TOKENS},{OUTPUT_TOKENS}"
        try:
            answer = await host.call("/draft/1", tokens=tokens, attempt=f"r{number}")
            self.statuses.append(answer.status)
        except (ExchangeError, OSError):
            self.statuses.append(0)


@contextlib.asynccontextmanager
async def return_fleet(host_count: int = HOST_COUNT) -> AsyncIterator[ReturnFleet]:
    """Run hosts that are ready, before one endpoint and a store in its first era."""
    store = PlatformStore()
    store.era = 1
    engine = StampedServer("engine-1", events=1)
    tenants = [{"name": "mill", "apiKeys": ["key-of-mill"], "prepaid": PREPAID_TOKENS}]
    async with contextlib.AsyncExitStack() as stack:
        address = await stack.enter_async_context(store.serve())
        await stack.enter_async_context(engine.serve())
        store.put("keyed.servers", engine.server_id, engine.entry("engine"))
        store.put("keyed.op", "config", configuration(1, tenants=tenants))
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
        await anyio.sleep(FRESH_SECONDS)
        yield ReturnFleet(store, address, engine, hosts, stack)
