"""Task that keeps the configuration of this router up to date."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio

from knapweeddrum.message.call.config_reply import ConfigReply
from knapweeddrum.message.call.config_request import ConfigRequest
from knapweeddrum.process.router.backoff import Backoff
from knapweeddrum.process.router.resource_table import ResourceTable
from knapweeddrum.process.router.router_context import RouterContext
from knapweeddrum.rpc.exceptions import RpcError
from knapweeddrum.rpc.keeper_methods import CONFIG
from knapweeddrum.telemetry.events import CONFIG_IN_FORCE, DEPENDENCY_READY, WAITING

LONG_POLL_SECONDS = 10.0
"""Time after which the keeper answers a long poll without a change."""

LONG_POLL_MARGIN_SECONDS = 5.0
FIRST_POLL_DELAY_SECONDS = 0.1
LONGEST_POLL_DELAY_SECONDS = 2.0

_DEPENDENCY_NAME = "keeper configuration"


class ConfigFollower:
    """Long-polls the keeper and applies changes to the resource table."""

    def __init__(
        self, context: RouterContext, on_change: Callable[[], Awaitable[None]]
    ) -> None:
        self.table = ResourceTable()
        self._context = context
        self._on_change = on_change
        self._is_waiting = False

    async def run(self) -> None:
        """Follow the configuration until cancelled."""
        backoff = Backoff(
            self._context.rng, FIRST_POLL_DELAY_SECONDS, LONGEST_POLL_DELAY_SECONDS
        )
        while True:
            try:
                reply = await self._poll()
            except RpcError as exc:
                self._emit_waiting(str(exc))
                await anyio.sleep(backoff.delay())
                continue
            if reply.offset < 0:
                self._emit_waiting("the keeper has no state yet")
                await anyio.sleep(backoff.delay())
                continue
            backoff.reset()
            self._emit_ready()
            if not await self._apply(reply):
                await anyio.sleep(FIRST_POLL_DELAY_SECONDS)

    async def _poll(self) -> ConfigReply:
        """Ask for changes; the offset tells the keeper what is in force here."""
        req = ConfigRequest(
            after=self.table.offset,
            wait=LONG_POLL_SECONDS,
            reader=self._context.incarnation,
        )
        timeout = LONG_POLL_SECONDS + LONG_POLL_MARGIN_SECONDS
        return await self._context.keeper.call(CONFIG, req, timeout)

    async def _apply(self, reply: ConfigReply) -> bool:
        """Apply a reply and notify of the change; return whether it was new."""
        if not self.table.apply(reply):
            return False
        self._context.events.emit(CONFIG_IN_FORCE, offset=self.table.offset)
        await self._on_change()
        return True

    def _emit_waiting(self, error: str) -> None:
        """Log the start of a wait for the configuration, once."""
        if self._is_waiting:
            return
        self._is_waiting = True
        self._context.events.emit(WAITING, dependency=_DEPENDENCY_NAME, error=error)

    def _emit_ready(self) -> None:
        """Log the end of a wait for the configuration."""
        if not self._is_waiting:
            return
        self._is_waiting = False
        self._context.events.emit(DEPENDENCY_READY, dependency=_DEPENDENCY_NAME)
