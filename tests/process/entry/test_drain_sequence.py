from __future__ import annotations

import dataclasses
from typing import cast

import anyio

from knapweeddrum.process.entry.caller_server import CallerServer
from knapweeddrum.process.entry.drain_sequence import DrainSequence
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.token_allocator import TokenAllocator
from knapweeddrum.process.entry.token_witness import TokenWitness
from tests.process.entry.claim_race import (
    ClaimRacePlan,
    DistantStore,
    SharedStream,
    make_context,
    virtual_clock,
)
from tests.standins.recording_event_log import RecordingEventLog
from tools.budget_model.virtual_loop import run_virtual

GRACE_SECONDS = 6.0


class IdleServer:
    """A caller server without a connection."""

    has_sessions = False

    def end_idle(self) -> None: ...

    def refuse_late_bodies(self) -> None: ...

    def stop_accepting(self) -> None: ...

    def give_up_requests(self) -> None: ...

    def report_end(self) -> None: ...

    def requests_in_progress(self) -> list[str]:
        return []


class SilentAllocator:
    """Gives tokens back to a store that gives no answer."""

    async def return_unused(self) -> bool:
        await anyio.sleep_forever()
        return False


class LoneWitness:
    """Tells nobody that it leaves."""

    async def announce_leave(self) -> None: ...


def draining_context() -> EntryContext:
    store = cast("DistantStore", DistantStore(SharedStream(), 0.0))
    ctx = make_context(0, ClaimRacePlan(hosts=1), store)
    ctx.settings = dataclasses.replace(ctx.settings, grace_period=GRACE_SECONDS)
    return ctx


def test_drain_ends_in_time_though_the_store_is_silent():
    """The process ends by itself before the kill, and says what it did not return."""

    async def play() -> None:
        with virtual_clock():
            ctx = draining_context()
            drain = DrainSequence(
                ctx,
                cast("CallerServer", IdleServer()),
                cast("TokenAllocator", SilentAllocator()),
                cast("TokenWitness", LoneWitness()),
            )
            started_at = anyio.current_time()
            with anyio.fail_after(2 * GRACE_SECONDS):
                await drain.run()
            assert anyio.current_time() - started_at < GRACE_SECONDS
            names = cast("RecordingEventLog", ctx.events).names
            assert names == ["drain_started", "stopped_in_progress", "drain_finished"]

    run_virtual(play)
