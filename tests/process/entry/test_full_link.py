"""Reads of the store by a host to whose link little comes through."""

from __future__ import annotations

import contextlib
import time
from collections.abc import AsyncIterator

import anyio

from tests.async_test import async_test
from tests.process.entry.entry_harness import (
    EntryHarness,
    configuration,
    entry_process,
    route,
)
from tests.process.entry.test_late_entries import service
from tests.standins.network_link import NetworkLink
from tests.standins.platform_store import PlatformStore

LINK_BYTES_PER_SECOND = 100_000
"""What callers leave of a link of 10 Mbit/s."""
WEAK_LINK_BYTES_PER_SECOND = 300_000
VERSIONS = range(2, 8)
VERSION_INTERVAL_SECONDS = 0.33
APPLY_SECONDS = 3.0
"""Time of the settings in which a configuration is to be in force."""
MORE_ROUTES = 1000
POLL_SECONDS = 0.02


def long_configuration(version: int) -> dict[str, object]:
    """Return a configuration of some 225 kB."""
    base = configuration(version)
    more = [
        route(f"more-{n}", f"/more-{n}/", "safe", "stock") for n in range(MORE_ROUTES)
    ]
    return {**base, "routes": [*base["routes"], *more]}  # type: ignore[misc]


@contextlib.asynccontextmanager
async def host_behind_link(
    document: dict[str, object], bytes_per_second: float | None = None
) -> AsyncIterator[tuple[EntryHarness, NetworkLink]]:
    """Run a host whose connections to the store lead through a link."""
    store = PlatformStore()
    stock = service(1)
    async with store.serve() as store_address, stock.serve():
        store.put("keyed.servers", stock.server_id, stock.entry("stock"))
        store.put("keyed.op", "config", document)
        link = NetworkLink(store_address, bytes_per_second)
        async with (
            link.serve(),
            entry_process(store, link.address, "host-1") as harness,
        ):
            await harness.wait_until_ready()
            yield harness, link


async def applied(harness: EntryHarness, version: int) -> None:
    """Wait until a version is in force."""
    while not any(
        line["version"] == version for line in harness.events("config_applied")
    ):
        await anyio.sleep(POLL_SECONDS)


@async_test
async def test_long_configuration_is_in_force_in_time_though_the_link_is_full():
    """Each try was given up after 0.9 s and begun again at its first byte (CONFIG)."""
    async with host_behind_link(configuration()) as (harness, link):
        link.bytes_per_second = LINK_BYTES_PER_SECOND
        harness.store.put("keyed.op", "config", long_configuration(2))
        acked_at = time.monotonic()
        with anyio.fail_after(2 * APPLY_SECONDS):
            await applied(harness, 2)
        assert time.monotonic() - acked_at < APPLY_SECONDS


@async_test
async def test_last_of_several_long_configurations_is_in_force_in_time():
    """All versions between were read, from the first on (CONFIG)."""
    async with host_behind_link(configuration()) as (harness, link):
        link.bytes_per_second = WEAK_LINK_BYTES_PER_SECOND
        for version in VERSIONS:
            harness.store.put("keyed.op", "config", long_configuration(version))
            put_at = time.monotonic()
            await anyio.sleep(VERSION_INTERVAL_SECONDS)
        with anyio.fail_after(2 * APPLY_SECONDS):
            await applied(harness, VERSIONS[-1])
        assert time.monotonic() - put_at < APPLY_SECONDS
        seen = [line["version"] for line in harness.events("config_applied")]
        assert len(seen) < len(VERSIONS)


@async_test
async def test_host_gets_ready_though_its_listings_come_in_slowly():
    """A listing that takes over 0.9 s was begun again for ever."""
    document = long_configuration(1)
    async with host_behind_link(document, LINK_BYTES_PER_SECOND) as (harness, _):
        assert harness.events("config_applied")
