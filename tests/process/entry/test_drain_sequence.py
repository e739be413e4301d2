from __future__ import annotations

import dataclasses
from typing import cast

import anyio

from knapweeddrum.process.entry.caller_server import CallerServer
from knapweeddrum.process.entry.drain_sequence import (
    DIRECTORY_REFRESH_SECONDS,
    DrainSequence,
)
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.token_allocator import TokenAllocator
from knapweeddrum.process.entry.token_witness import TokenWitness
from knapweeddrum.process.entry.tunnel_server import TunnelServer
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


class NoTunnels:
    """Passes nothing on for other hosts."""

    open_count = 0

    async def announce_drain(self) -> None:
        return


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
                cast("TunnelServer", NoTunnels()),
            )
            started_at = anyio.current_time()
            with anyio.fail_after(2 * GRACE_SECONDS):
                await drain.run()
            assert anyio.current_time() - started_at < GRACE_SECONDS
            names = cast("RecordingEventLog", ctx.events).names
            assert names == ["drain_started", "stopped_in_progress", "drain_finished"]

    run_virtual(play)


class PausedWitness:
    """Takes so long to tell that this host leaves as if the process was paused."""

    async def announce_leave(self) -> None:
        await anyio.sleep(2 * DIRECTORY_REFRESH_SECONDS)


def test_drain_of_a_process_that_was_paused_goes_on():
    """The time from which it refuses is over when it gets to wait for it."""

    async def play() -> None:
        with virtual_clock():
            ctx = draining_context()
            drain = DrainSequence(
                ctx,
                cast("CallerServer", IdleServer()),
                cast("TokenAllocator", SilentAllocator()),
                cast("TokenWitness", PausedWitness()),
                cast("TunnelServer", NoTunnels()),
            )
            await drain.run()
            names = cast("RecordingEventLog", ctx.events).names
            assert names[-1] == "drain_finished"

    run_virtual(play)


class WaitingServer(IdleServer):
    """Has a request without an answer until it is given up."""

    def __init__(self) -> None:
        self.has_sessions = True
        self.given_up_at = 0.0

    def give_up_requests(self) -> None:
        self.given_up_at = anyio.current_time()
        self.has_sessions = False


def test_drain_of_a_host_that_is_behind_gives_requests_up_sooner():
    """Their refusals take it several turns of the event loop, each of them late."""

    async def given_up_after(lag: float) -> float:
        ctx = draining_context()
        server = WaitingServer()
        started_at = anyio.current_time()
        drain = DrainSequence(
            ctx,
            cast("CallerServer", server),
            cast("TokenAllocator", SilentAllocator()),
            cast("TokenWitness", LoneWitness()),
            cast("TunnelServer", NoTunnels()),
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_stay_behind, ctx, lag)
            await drain.run()
            tasks.cancel_scope.cancel()
        return server.given_up_at - started_at

    async def play() -> None:
        with virtual_clock():
            quick = await given_up_after(0.0)
            slow = await given_up_after(0.3)
            assert GRACE_SECONDS - 1.0 < quick < GRACE_SECONDS - 0.4
            assert slow < quick - 1.0

    run_virtual(play)


async def _stay_behind(ctx: EntryContext, lag: float) -> None:
    while True:
        now = anyio.current_time()
        ctx.loop_lag.record(lag, now)
        await anyio.sleep(0.25)
