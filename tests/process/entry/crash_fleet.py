"""Test harness: entry processes before a service that one request crashes."""

from __future__ import annotations

import contextlib
import dataclasses
import itertools
import time
from collections.abc import AsyncIterator, Sequence

import anyio

from knapweeddrum.http.exceptions import ExchangeError
from tests.process.entry.entry_harness import (
    Answer,
    EntryHarness,
    configuration,
    entry_process,
)
from tests.standins.crashing_service import (
    CrashingEndpoint,
    CrashingService,
    FatalPart,
)
from tests.standins.platform_store import PlatformStore

ANSWER_TIMEOUT_SECONDS = 5.0
POLL_INTERVAL_SECONDS = 0.005
ENGINE_DOWN_SECONDS = 2.0


@dataclasses.dataclass(slots=True)
class SentRequest:
    """A request of a caller; ``status`` is 0 if its connection broke off."""

    sent_at: float
    status: int
    answer: Answer | None


@dataclasses.dataclass(slots=True)
class CrashFleet:
    """Hosts that share a store and send to one service."""

    store: PlatformStore
    store_address: str
    service: CrashingService
    hosts: list[EntryHarness]
    attempts: itertools.count[int]

    async def send(self, host: EntryHarness, path: str, body: bytes) -> SentRequest:
        """Send a request with a new attempt identifier."""
        sent_at = time.monotonic()
        attempt = f"attempt-{next(self.attempts)}"
        try:
            with anyio.fail_after(ANSWER_TIMEOUT_SECONDS):
                answer = await host.call(path, body=body, attempt=attempt)
        except (ExchangeError, TimeoutError):
            return SentRequest(sent_at, 0, None)
        return SentRequest(sent_at, answer.status, answer)

    async def send_prompt(self, host: EntryHarness, prefix: str) -> SentRequest:
        """Send a stream whose prompt has the given parts, and one of its own."""
        sent_at = time.monotonic()
        number = next(self.attempts)
        try:
            with anyio.fail_after(ANSWER_TIMEOUT_SECONDS):
                answer = await host.call(
                    "/query/1",
                    body=b"question %d" % number,
                    attempt=f"attempt-{number}",
                    tokens="30,9",
                    prefix=f"{prefix}:10,{number:x}:5",
                )
        except (ExchangeError, TimeoutError):
            return SentRequest(sent_at, 0, None)
        status = answer.status if answer.is_complete else 0
        return SentRequest(sent_at, status, answer)

    async def send_prompts(
        self,
        prefixes: Sequence[str],
        interval_seconds: float,
        sent: list[SentRequest],
    ) -> None:
        """Send such streams to the hosts in turn, prefix by prefix, until cancelled."""
        async with anyio.create_task_group() as tasks:
            for number in itertools.count():
                host = self.hosts[number % len(self.hosts)]
                prefix = prefixes[number % len(prefixes)]

                async def send_one(host: EntryHarness, prefix: str) -> None:
                    sent.append(await self.send_prompt(host, prefix))

                tasks.start_soon(send_one, host, prefix)
                await anyio.sleep(interval_seconds)

    async def send_in_turn(
        self, path: str, body: bytes, count: int, interval_seconds: float
    ) -> list[SentRequest]:
        """Send copies of a request to the hosts in turn, and return the results."""
        sent: list[SentRequest] = []
        for number in range(count):
            host = self.hosts[number % len(self.hosts)]
            sent.append(await self.send(host, path, body))
            await anyio.sleep(interval_seconds)
        return sent

    async def send_different(
        self, path: str, interval_seconds: float, sent: list[SentRequest]
    ) -> None:
        """Send requests with different bodies to the hosts in turn until cancelled."""

        async def send_one(number: int) -> None:
            position = number % len(self.hosts)
            body = b"host %d ordinary %d" % (position, number)
            sent.append(await self.send(self.hosts[position], path, body))

        async with anyio.create_task_group() as tasks:
            for number in itertools.count():
                tasks.start_soon(send_one, number)
                await anyio.sleep(interval_seconds)

    async def crash_beside_requests(self, position: int) -> str:
        """Crash an endpoint, with an ordinary request of each host open there.

        Returns the endpoint's identifier.
        """
        endpoint = self.service.endpoints[position]
        with anyio.fail_after(ANSWER_TIMEOUT_SECONDS):
            while not self._all_hosts_wait_for(endpoint):
                await anyio.sleep(POLL_INTERVAL_SECONDS)
        endpoint.crash()
        return endpoint.server_id

    def _all_hosts_wait_for(self, endpoint: CrashingEndpoint) -> bool:
        return all(
            any(body.startswith(b"host %d " % position) for body in endpoint.running)
            for position in range(len(self.hosts))
        )


@contextlib.asynccontextmanager
async def crash_fleet(
    host_count: int,
    endpoint_count: int,
    *,
    silent: bool = False,
    fatal_part: FatalPart | None = None,
) -> AsyncIterator[CrashFleet]:
    """Run hosts that are ready and know each other.

    With ``fatal_part`` the endpoints are model engines, else plain services.
    """
    store = PlatformStore()
    if fatal_part is None:
        service = CrashingService(store, "stock", endpoint_count, silent=silent)
    else:
        service = CrashingService(
            store,
            "engine",
            endpoint_count,
            down_seconds=ENGINE_DOWN_SECONDS,
            fatal_part=fatal_part,
            events=3,
        )
    async with contextlib.AsyncExitStack() as stack:
        store_address = await stack.enter_async_context(store.serve())
        await stack.enter_async_context(service.serve())
        store.put("keyed.op", "config", configuration())
        hosts = [
            await stack.enter_async_context(
                entry_process(store, store_address, f"host-{number}")
            )
            for number in range(host_count)
        ]
        for host in hosts:
            await host.wait_until_ready()
        yield CrashFleet(store, store_address, service, hosts, itertools.count())
