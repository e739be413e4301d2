"""Connections to the store that go silent together, while new ones work."""

from __future__ import annotations

import time

import anyio

from tests.async_test import async_test
from tests.process.entry.entry_harness import (
    EntryHarness,
    configuration,
    entry_harness,
)
from tests.process.entry.test_late_entries import READ_SECONDS, call, service, write

DRAIN_SECONDS = 2.0
"""Bound of the settings for requests to an endpoint that left."""
STABLE_SECONDS = 3.0
"""Time after the reset of its connections from which a host is in touch."""
APPLY_SECONDS = 2.0
DELAY_SECONDS = 0.8
POLL_SECONDS = 0.05


async def open_connections(harness: EntryHarness) -> None:
    """Have the host open several connections to the store, as after a delay."""
    harness.store.reply_delay = DELAY_SECONDS
    await anyio.sleep(2 * READ_SECONDS)
    harness.store.reply_delay = 0.0
    await anyio.sleep(DELAY_SECONDS)


@async_test
async def test_removal_is_read_in_time_though_all_open_connections_went_silent():
    """The next connection in the pool was as old, and as silent (DRAIN)."""
    leaving, staying = service(1), service(2)
    async with entry_harness(services=(leaving, staying)) as harness:
        await open_connections(harness)
        write(harness, leaving)
        await anyio.sleep(READ_SECONDS / 2)
        harness.store.silence_open_connections()
        harness.store.drop("keyed.servers", leaving.server_id)
        with anyio.fail_after(DRAIN_SECONDS):
            await harness.wait_for_event("endpoint_unlisted")
        arrivals = leaving.arrivals
        await call(harness, "after")
        assert leaving.arrivals == arrivals


@async_test
async def test_configuration_is_applied_in_time_though_all_connections_went_silent():
    """Requests ran at the service of an earlier version for longer (CONFIG)."""
    async with entry_harness(services=(service(1),)) as harness:
        await open_connections(harness)
        harness.store.silence_open_connections()
        silent_at = time.monotonic()
        await anyio.sleep(STABLE_SECONDS - APPLY_SECONDS)
        harness.store.put("keyed.op", "config", configuration(2))
        while not any(
            line["version"] == 2 for line in harness.events("config_applied")
        ):
            await anyio.sleep(POLL_SECONDS)
        assert time.monotonic() - silent_at < STABLE_SECONDS
