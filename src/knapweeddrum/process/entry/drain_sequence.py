"""Graceful shutdown of an entry process."""

from __future__ import annotations

import time

import anyio
import anyio.lowlevel

from knapweeddrum.core.load.loop_lag import BEHIND_SECONDS
from knapweeddrum.process.entry.caller_server import CallerServer
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.token_allocator import TokenAllocator
from knapweeddrum.process.entry.token_witness import TokenWitness
from knapweeddrum.process.entry.tunnel_server import TunnelServer
from knapweeddrum.telemetry.entry_events import STOPPED_IN_PROGRESS
from knapweeddrum.telemetry.events import DRAIN_FINISHED, DRAIN_STARTED

DIRECTORY_REFRESH_SECONDS = 2.5
"""Time from the start of a drain until callers have refreshed the directory.

Until then every request is accepted: few callers know yet that this host is leaving.
"""

LAST_REQUEST_WAIT_SECONDS = 0.6
"""Time without a new request after which none is expected."""

TOKEN_RETURN_SECONDS = 0.6
"""Time before the end of the drain at which unused tokens are returned in any case."""

EXIT_MARGIN_SECONDS = 0.6
"""Time before the kill from which no request is waited for that has no answer yet."""

LAG_MARGIN_FACTOR = 4.0
"""Multiple of the lag of a process that is behind by which that time is sooner.

A refusal takes it several turns of the event loop.
"""

MAX_LAG_MARGIN_SECONDS = 2.0

LAST_TURNS = 5
"""Turns of the event loop in which answers that have come by then are passed on."""

CUT_MARGIN_SECONDS = 0.4
"""Time before the kill at which answers that have begun are cut."""

SESSION_POLL_SECONDS = 0.05

MAX_LOGGED_REQUESTS = 16


class DrainSequence:
    """Leaves the directory, completes open requests and returns unused tokens."""

    def __init__(
        self,
        ctx: EntryContext,
        server: CallerServer,
        allocator: TokenAllocator,
        witness: TokenWitness,
        tunnels: TunnelServer,
    ) -> None:
        self._ctx = ctx
        self._server = server
        self._allocator = allocator
        self._witness = witness
        self._tunnels = tunnels

    async def run(self) -> None:
        """Drain; return when the process can exit."""
        ctx = self._ctx
        ctx.draining = True
        ctx.events.emit(DRAIN_STARTED, in_progress=ctx.in_progress)
        # A process that is behind gets the signal late.
        started_at = time.monotonic() - ctx.loop_lag.current(time.monotonic())
        ctx.drain_refuses_from = started_at + DIRECTORY_REFRESH_SECONDS
        ctx.drain_ends_at = started_at + ctx.settings.grace_period - EXIT_MARGIN_SECONDS
        cut_at = started_at + ctx.settings.grace_period - CUT_MARGIN_SECONDS
        await self._tunnels.announce_drain()
        await self._witness.announce_leave()
        await anyio.sleep_until(ctx.drain_refuses_from)
        while self._expects_requests(started_at) and not self._must_return_tokens():
            await self._end_connections()
        self._server.stop_accepting()
        while self._server.has_sessions and not self._must_return_tokens():
            await self._end_connections()
        returned = False
        with anyio.move_on_after(self._time_left()):
            # A store that is silent must not keep the process from ending.
            returned = await self._allocator.return_unused()
            await self._finish_sessions()
            await self._finish_tunnels()
        await self._give_up_requests(cut_at)
        if ctx.in_progress or not returned:
            ctx.events.emit(
                STOPPED_IN_PROGRESS,
                requests=ctx.in_progress,
                ids=self._server.requests_in_progress()[:MAX_LOGGED_REQUESTS],
                claims_returned=returned,
            )
        self._server.report_end()
        ctx.events.emit(DRAIN_FINISHED)

    def _must_return_tokens(self) -> bool:
        return self._time_left() <= TOKEN_RETURN_SECONDS

    def _time_left(self) -> float:
        """Return the seconds for which requests without an answer are waited for."""
        now = time.monotonic()
        lag = self._ctx.loop_lag.current(now)
        margin = 0.0
        if lag >= BEHIND_SECONDS:
            margin = min(MAX_LAG_MARGIN_SECONDS, LAG_MARGIN_FACTOR * lag)
        return self._ctx.drain_ends_at - margin - now

    async def _give_up_requests(self, cut_at: float) -> None:
        """Refuse what has no answer; wait for the answers that have begun."""
        for _ in range(LAST_TURNS):
            await anyio.lowlevel.checkpoint()
        # Nothing is admitted any more.
        self._ctx.drain_ends_at = time.monotonic()
        while self._server.has_sessions and time.monotonic() < cut_at:
            self._server.give_up_requests()
            await self._end_connections()

    async def _finish_sessions(self) -> None:
        while self._server.has_sessions:
            await self._end_connections()

    async def _finish_tunnels(self) -> None:
        """Wait until the other hosts have ended the requests in their tunnels."""
        while self._tunnels.open_count:
            await anyio.sleep(SESSION_POLL_SECONDS)

    async def _end_connections(self) -> None:
        """End what is idle, refuse what can't be served any more, and wait a little."""
        self._server.end_idle()
        self._server.refuse_late_bodies()
        await anyio.sleep(SESSION_POLL_SECONDS)

    def _expects_requests(self, started_at: float) -> bool:
        last = max(self._ctx.last_request_at, started_at)
        return time.monotonic() - last < LAST_REQUEST_WAIT_SECONDS
