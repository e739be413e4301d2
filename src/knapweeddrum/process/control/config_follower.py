"""The task that keeps the process's copy of the configuration up to date."""

from __future__ import annotations

import anyio

from knapweeddrum.process.control.config_copy import ConfigCopy
from knapweeddrum.process.control.exceptions import (
    KeeperReplyLostError,
    KeeperUnavailableError,
)
from knapweeddrum.process.control.keeper_client import KeeperClient
from knapweeddrum.telemetry.event_log import EventLog
from knapweeddrum.telemetry.events import DEPENDENCY_READY, WAITING

LONG_POLL_WAIT_SECONDS = 10.0
"""How long a keeper delays its reply to a poll while nothing changes."""
CATCH_UP_TIMEOUT_SECONDS = 2.0
"""How long ``catch_up`` waits after it has cancelled the poll in progress."""
POLL_CANCEL_DELAY_SECONDS = 0.5
"""How long ``catch_up`` waits before it cancels the poll in progress."""
POLL_RETRY_DELAY_SECONDS = 0.5
"""Delay after a poll that failed, was stale or waited without a change."""


class ConfigFollower:
    """Updates the copy by long polls and wakes the tasks that wait for a change."""

    def __init__(self, keeper: KeeperClient, events: EventLog) -> None:
        self.copy = ConfigCopy()
        self._keeper = keeper
        self._events = events
        self._changed = anyio.Event()
        self._connected = False
        self._waiting_logged = False
        self._poll_scope = anyio.CancelScope()

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            if not await self._poll():
                await anyio.sleep(POLL_RETRY_DELAY_SECONDS)

    async def wait_for(self, offset: int, timeout: float) -> bool:
        """Wait for the copy to reach ``offset``; return False after ``timeout`` s."""
        with anyio.move_on_after(timeout):
            while self.copy.offset < offset:
                await self._changed.wait()
        return self.copy.offset >= offset

    async def catch_up(self, offset: int) -> bool:
        """Wait until the copy has reached an offset that some keeper has.

        The poll in progress may be at a keeper that is suspended or unreachable, so
        it is cancelled after a while and a new one is made. Returns False when the
        copy doesn't reach the offset with that either.
        """
        if await self.wait_for(offset, POLL_CANCEL_DELAY_SECONDS):
            return True
        self._poll_scope.cancel()
        return await self.wait_for(offset, CATCH_UP_TIMEOUT_SECONDS)

    async def wait_for_change(self, offset: int, timeout: float) -> None:
        """Wait until the copy is past ``offset``, at most ``timeout`` seconds."""
        await self.wait_for(offset + 1, timeout)

    async def _poll(self) -> bool:
        """Poll once; return False when the next poll should be delayed."""
        wait = LONG_POLL_WAIT_SECONDS if self._connected else 0.0
        reply = None
        try:
            with anyio.CancelScope() as self._poll_scope:
                reply = await self._keeper.config(self.copy.offset, wait)
        except (KeeperUnavailableError, KeeperReplyLostError) as exc:
            self._record_waiting(str(exc))
            return False
        if reply is None:
            return True
        changed = self.copy.apply(reply)
        if not self.copy.ready or reply.offset < self.copy.offset:
            self._record_waiting("the keeper has no state yet or lags behind")
            return False
        self._record_ready()
        if changed:
            self._changed.set()
            self._changed = anyio.Event()
        return changed or not wait

    def _record_waiting(self, error: str) -> None:
        self._connected = False
        if not self._waiting_logged:
            self._waiting_logged = True
            self._events.emit(WAITING, dependency="keeper", error=error)

    def _record_ready(self) -> None:
        if not self._connected:
            self._events.emit(DEPENDENCY_READY, dependency="keeper")
        self._connected = True
        self._waiting_logged = False
