from __future__ import annotations

import pathlib
from typing import cast

import anyio

from knapweeddrum.process.entry.keep_running import keep_running
from tests.async_test import async_test
from tests.process.entry.claim_race import (
    ClaimRacePlan,
    DistantStore,
    SharedStream,
    make_context,
)
from tests.process.entry.entry_harness import Answer, entry_harness
from tests.standins import failing_entry
from tests.standins.recording_event_log import RecordingEventLog
from tests.standins.stamped_server import StampedServer


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


@async_test
async def test_answers_in_progress_outlast_an_error_of_a_background_task():
    """The reader fails again at each start; the host answers and stays up."""
    engine = StampedServer("engine-1", events=20)
    engine.event_gap = 0.1
    program = pathlib.Path(failing_entry.__file__)
    async with entry_harness(engines=(engine,), program=program) as harness:
        answers: list[Answer] = []

        async def ask() -> None:
            answers.append(await harness.call("/draft/1", tokens="100,30"))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask)
            while not engine.runs:
                await anyio.sleep(0.02)
            harness.store.put("keyed.crashes", failing_entry.FATAL_KEY, {})
            with anyio.fail_after(5.0):
                await harness.wait_for_event("task_failed", 2)
        assert [(a.status, a.is_complete) for a in answers] == [(200, True)]
        assert harness.process.returncode is None
