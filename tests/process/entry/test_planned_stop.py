from __future__ import annotations

import os
import pathlib
import random
import signal

import anyio
from nose2.tools import params

from tests.async_test import async_test, run_async
from tests.process.entry.entry_harness import (
    configuration,
    entry_harness,
    entry_process,
)
from tests.process.entry.planned_stop import PlannedStop, SentSignal, StopPlan
from tests.standins.platform_store import PlatformStore

SEEDS = int(os.environ.get("KNAPWEED_STOP_SEEDS", "4"))
"""Random plans; 50 or more by hand."""

TERM = SentSignal(0.0, signal.SIGTERM)
SECOND_TERM = SentSignal(1.0, signal.SIGTERM)
HANGUPS = tuple(SentSignal(after, signal.SIGHUP) for after in (0.3, 0.6, 0.9))


async def check(plan: StopPlan, seed: int) -> None:
    """Play a stop: nothing that was run is lost, and the host ends by itself."""
    stop = PlannedStop(plan, seed)
    assert await stop.play() == [], (plan, seed)
    assert not stop.is_killed, (plan, seed)
    assert stop.exit_code == 0, (plan, seed)
    assert stop.whole > 0


@params(
    StopPlan((TERM,)),
    StopPlan((TERM, SECOND_TERM)),
    StopPlan((TERM, *HANGUPS)),
    StopPlan((TERM, SECOND_TERM), store_is_silent=True),
    StopPlan((TERM,), store_refuses=True),
)
def test_planned_stop_cuts_nothing_that_an_endpoint_runs(plan: StopPlan):
    """Signals in series, also while the store is away, end no answer early."""
    run_async(check, plan, 1)


def test_planned_stops_with_drawn_signals_cut_nothing():
    """A short soak: signals overlap, beside one disturbance or none."""

    async def play(seed: int) -> None:
        await check(StopPlan.draw(random.Random(seed)), seed)

    for seed in range(SEEDS):
        run_async(play, seed)


@async_test
async def test_interrupt_during_a_drain_ends_the_process_at_once():
    """Who presses it a second time at a terminal wants the end."""
    async with entry_harness() as harness:
        harness.send_signal(signal.SIGINT)
        await harness.wait_for_event("drain_started")
        harness.send_signal(signal.SIGINT)
        with anyio.fail_after(1.0):
            assert await harness.process.wait() == 0


@async_test
async def test_changed_settings_at_the_start_of_a_process_do_not_end_it():
    """SIGHUP may come before the process has begun to handle signals."""
    store = PlatformStore()
    store.put("keyed.op", "config", configuration())
    async with (
        store.serve() as address,
        entry_process(store, address, "host-1") as harness,
    ):
        maps = pathlib.Path(f"/proc/{harness.process.pid}/maps")
        with anyio.fail_after(5):
            while "msgspec" not in maps.read_text():
                # The process has not begun to import what it needs.
                await anyio.sleep(0.002)
        for _ in range(20):
            harness.send_signal(signal.SIGHUP)
            await anyio.sleep(0.02)
        await harness.wait_until_ready()
