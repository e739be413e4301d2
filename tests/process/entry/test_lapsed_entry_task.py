from __future__ import annotations

import time
from typing import cast

import anyio

from knapweeddrum.core.catalog.endpoint_entry import EndpointEntry
from knapweeddrum.process.entry.lapsed_entry_task import LapsedEntryTask
from knapweeddrum.process.entry.service_list_reader import ServiceListReader
from tests.async_test import async_test
from tests.process.entry.claim_race import (
    ClaimRacePlan,
    DistantStore,
    SharedStream,
    make_context,
)

LONG_AGO_SECONDS = 60.0


class LateReader:
    """Gets to a lapse when its grace is over, as a process that was paused."""

    def __init__(self) -> None:
        self.removed = anyio.Event()

    async def wait_for_lapse(self) -> None:
        await anyio.sleep(0)

    def remove_lapsed(self, now: float) -> None:
        self.removed.set()


@async_test
async def test_entry_whose_grace_ended_while_the_process_was_paused_is_removed():
    """The task does not fail at a time that is over."""
    store = cast("DistantStore", DistantStore(SharedStream(), 0.0))
    ctx = make_context(0, ClaimRacePlan(hosts=1), store)
    returned_at = time.monotonic() - LONG_AGO_SECONDS
    ctx.service_list.apply_entry(
        "e-1", 1, EndpointEntry("e-1", "engine", "10.0.0.1:1", "a", 8), returned_at
    )
    ctx.service_list.store_lost()
    ctx.service_list.store_reached(returned_at)
    ctx.service_list.apply_removal("e-1", 2, returned_at)
    assert ctx.service_list.lapses_at is not None
    reader = LateReader()
    task = LapsedEntryTask(ctx, cast("ServiceListReader", reader))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(task.run)
        with anyio.fail_after(1.0):
            await reader.removed.wait()
        tasks.cancel_scope.cancel()
