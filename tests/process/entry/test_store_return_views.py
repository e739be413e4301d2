"""What hosts have read of others, while the store shows an older copy of it."""

from __future__ import annotations

import contextlib
import json
import time
from collections.abc import AsyncIterator

import anyio

from tests.async_test import async_test
from tests.process.entry.entry_harness import (
    KEY,
    EntryHarness,
    configuration,
    entry_harness,
)
from tests.standins.platform_store import PlatformStore
from tests.standins.stamped_server import StampedServer

NEW_KEY = "new-key-of-mill"
AWAY_SECONDS = 0.5
COPY_MARGIN_SECONDS = 0.3
"""Time from the copy until what it lacks is written."""
OLD_COPY_SECONDS = 2.0
"""Time for which the store shows only the copy."""
HOST_GONE_SECONDS = 12.0
RESOLVE_PATH = "/-/resolve?name=desk.example&region=r&zone=zone-a"


def returning_store() -> PlatformStore:
    store = PlatformStore()
    store.era = 1
    store.rewritten_after = OLD_COPY_SECONDS
    return store


@contextlib.asynccontextmanager
async def readiness_of(harness: EntryHarness) -> AsyncIterator[list[int]]:
    """Yield the statuses of the readiness page, asked for all the while."""
    statuses: list[int] = []

    async def ask() -> None:
        while True:
            answer = await harness.get(harness.ready_address, "/-/ready")
            statuses.append(answer.status)
            await anyio.sleep(0.05)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(ask)
        yield statuses
        tasks.cancel_scope.cancel()


def stored_version(store: PlatformStore) -> int:
    """Return the version of the configuration in the store."""
    _, document = store.stream("keyed.op").newest["config"]
    return json.loads(document)["version"]


async def directory(harness: EntryHarness) -> set[str]:
    answer = await harness.get(harness.directory_address, RESOLVE_PATH)
    return set(json.loads(answer.body)["addresses"])


@async_test
async def test_configuration_and_endpoints_do_not_go_back_with_the_store():
    """Nor does the host cease to be ready, or miss what is written afterwards."""
    store = returning_store()
    draining, removed, staying = (
        StampedServer(f"stock-{number}", body=b"booked") for number in range(3)
    )
    services = (draining, removed, staying)
    async with entry_harness(services=services, store=store) as harness:
        copied_at = time.monotonic()
        await anyio.sleep(COPY_MARGIN_SECONDS)
        tenants = [{"name": "mill", "apiKeys": [NEW_KEY], "prepaid": 10_000}]
        store.put("keyed.op", "config", configuration(5, tenants=tenants))
        entry = draining.entry("stock", state="draining", seq=2)
        store.put("keyed.servers", draining.server_id, entry)
        store.drop("keyed.servers", removed.server_id)
        await harness.wait_for_event("config_applied", 2)
        await harness.wait_for_event("endpoint_unlisted")
        await harness.wait_for_event("endpoint_listed", 4)
        statuses: dict[str, list[int]] = {KEY: [], NEW_KEY: []}
        stored_versions = set()
        async with readiness_of(harness) as ready, anyio.create_task_group() as tasks:
            age = time.monotonic() - copied_at
            tasks.start_soon(store.return_from_copy, age, AWAY_SECONDS)
            ended_at = time.monotonic() + AWAY_SECONDS + OLD_COPY_SECONDS + 1.0
            while time.monotonic() < ended_at:
                stored_versions.add(stored_version(store))
                for key, seen in statuses.items():
                    answer = await harness.call("/book/1", key=key, attempt=key)
                    seen.append(answer.status)
                await anyio.sleep(0.05)
        assert stored_versions == {1, 5}
        assert set(ready) == {200}, ready
        assert set(statuses[NEW_KEY]) == {200}, statuses[NEW_KEY]
        assert set(statuses[KEY]) == {401}, statuses[KEY]
        assert (draining.arrivals, removed.arrivals) == (0, 0)
        store.put("keyed.op", "config", configuration(6))
        await harness.wait_for_event("config_applied", 3)
        assert (await harness.call("/book/1")).status == 200


@async_test
async def test_host_that_ended_does_not_come_back_with_the_store():
    """Its heartbeats in the copy are old ones, whatever their new offsets."""
    store = returning_store()
    async with entry_harness(store=store) as first:
        async with entry_harness(
            store=store, document=configuration(2), name="host-2"
        ) as second:
            both = {first.caller_address, second.caller_address}
            with anyio.fail_after(HOST_GONE_SECONDS):
                while await directory(first) != both:
                    await anyio.sleep(0.1)
            copied_at = time.monotonic()
            second.process.kill()
            await second.process.wait()
        with anyio.fail_after(HOST_GONE_SECONDS):
            while await directory(first) == both:
                await anyio.sleep(0.1)
        async with anyio.create_task_group() as tasks:
            age = time.monotonic() - copied_at
            tasks.start_soon(store.return_from_copy, age, AWAY_SECONDS)
            ended_at = time.monotonic() + AWAY_SECONDS + OLD_COPY_SECONDS + 1.0
            while time.monotonic() < ended_at:
                assert await directory(first) == {first.caller_address}
                await anyio.sleep(0.05)
        assert first.events("store_returned")
