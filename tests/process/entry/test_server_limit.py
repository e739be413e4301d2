from __future__ import annotations

import time

import anyio

from tests.async_test import async_test
from tests.process.entry.entry_harness import (
    STABLE_WINDOW_MS,
    EntryHarness,
    entry_harness,
    entry_process,
)
from tests.standins.platform_store import PlatformStore
from tests.standins.stamped_server import StampedServer

LIMIT_PER_SECOND = 1.0
WINDOW_SECONDS = 4.0
ALLOWED = 1.5 * LIMIT_PER_SECOND * WINDOW_SECONDS + 5
"""Requests in any window that the users' rule allows, from all hosts together."""


async def _send(host: EntryHarness, name: str, seconds: float) -> None:
    begun = time.monotonic()
    number = 0
    async with anyio.create_task_group() as tasks:
        while time.monotonic() - begun < seconds:
            number += 1
            tasks.start_soon(_call, host, f"{name}-{number}")
            await anyio.sleep(0.2)


async def _call(host: EntryHarness, attempt: str) -> None:
    await host.call("/read/1", attempt=attempt, time_left_ms=900)


def _most_in_a_window(times: list[float]) -> int:
    return max(
        (sum(1 for at in times if 0 <= at - first < WINDOW_SECONDS) for first in times),
        default=0,
    )


@async_test
async def test_endpoint_that_names_a_limit_gets_no_more_than_that_from_all_hosts():
    """From the stable window after it first named it, no four seconds hold more."""
    limited = StampedServer("stock-1", body=b"whole")
    limited.limit = str(LIMIT_PER_SECOND).encode()
    store = PlatformStore()
    async with (
        entry_harness(services=(limited,), store=store) as first,
        entry_process(store, first.store_address, "host-2") as second,
    ):
        await second.wait_until_ready()
        async with anyio.create_task_group() as tasks:
            for host in (first, second):
                seconds = STABLE_WINDOW_MS / 1000 + WINDOW_SECONDS + 1.0
                tasks.start_soon(_send, host, host.caller_address, seconds)
    counted_from = limited.arrival_times[0] + STABLE_WINDOW_MS / 1000
    counted = [at for at in limited.arrival_times if at >= counted_from]
    assert _most_in_a_window(counted) <= ALLOWED, _most_in_a_window(counted)
