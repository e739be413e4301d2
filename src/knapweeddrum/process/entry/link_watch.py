"""Turns new callers away while the incoming direction of the host's link is full."""

from __future__ import annotations

import time
from collections.abc import Callable

import anyio

from knapweeddrum.core.load.link_load import QUIET_SECONDS
from knapweeddrum.process.entry.caller_server import CallerServer
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.telemetry.counters import LISTENER_CLOSED
from knapweeddrum.telemetry.entry_events import LINK_FULL, LINK_HAS_ROOM

LOOK_SECONDS = 0.01
"""Interval of looks at the link's load while the listener is closed."""


class LinkWatch:
    """Lets the server for callers pause and go on as LinkLoad decides.

    It runs only when received bytes may have filled the link, and while the server
    pauses. ``announce`` tells the other hosts that this one sheds connections, or no
    longer does.
    """

    def __init__(
        self, ctx: EntryContext, server: CallerServer, announce: Callable[[], None]
    ) -> None:
        self._ctx = ctx
        self._load = ctx.link_load
        self._server = server
        self._announce = announce
        self._due = anyio.Event()
        self._sheds_since: float | None = None
        self._load.on_due = self._wake

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            if self._load.is_closed:
                await anyio.sleep(LOOK_SECONDS)
            else:
                await self._wait_until_due()
            self._look(time.monotonic())

    def _wake(self) -> None:
        self._due.set()

    async def _wait_until_due(self) -> None:
        """Wait for bytes that may fill the link, or for the end of shedding."""
        sheds = self._load.shedding_since is not None
        with anyio.move_on_after(QUIET_SECONDS if sheds else float("inf")):
            await self._due.wait()
        self._due = anyio.Event()

    def _look(self, now: float) -> None:
        closings = self._load.closings
        self._load.update(now)
        if self._load.is_closed and not self._ctx.draining:
            # A drain keeps its own rules of what it accepts.
            self._server.pause_accepting()
        else:
            self._server.resume_accepting()
        if self._load.closings > closings:
            self._ctx.metrics.count(LISTENER_CLOSED)
        self._report(now)

    def _report(self, now: float) -> None:
        """Log and announce the begin or the end of a time of shedding."""
        since = self._load.shedding_since
        if (since is None) == (self._sheds_since is None):
            return
        began_at = since if since is not None else self._sheds_since or now
        report = self._load.report(began_at, now)
        self._ctx.events.emit(
            LINK_HAS_ROOM if since is None else LINK_FULL,
            bytes_per_second=round(report.bytes_per_second),
            bound=round(report.bound),
            closings=report.closings,
            seconds=round(report.seconds, 2),
        )
        self._sheds_since = since
        self._announce()
