from __future__ import annotations

from typing import cast

from knapweeddrum.process.entry.keep_running import keep_running
from tests.async_test import async_test
from tests.process.entry.claim_race import (
    ClaimRacePlan,
    DistantStore,
    SharedStream,
    make_context,
)
from tests.standins.recording_event_log import RecordingEventLog


@async_test
async def test_error_of_a_task_ends_neither_the_process_nor_the_task():
    """It runs again, with a line for each error, until it returns."""
    store = cast("DistantStore", DistantStore(SharedStream(), 0.0))
    ctx = make_context(0, ClaimRacePlan(hosts=1), store)
    runs = 0

    async def fail_once() -> None:
        nonlocal runs
        runs += 1
        if runs == 1:
            raise ExceptionGroup("errors of tasks", [KeyError("a fault")])

    await keep_running(ctx, "failing", fail_once)
    assert runs == 2
    assert cast("RecordingEventLog", ctx.events).names == ["task_failed"]
