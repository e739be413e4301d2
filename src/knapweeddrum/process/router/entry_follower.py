"""Task that keeps the list of entry hosts up to date."""

from __future__ import annotations

import anyio

from knapweeddrum.message.call.entry_host import EntryHost
from knapweeddrum.message.call.entry_request import EntryRequest
from knapweeddrum.process.router.crash_watch import CrashWatch
from knapweeddrum.process.router.router_context import RouterContext
from knapweeddrum.rpc.exceptions import RpcError
from knapweeddrum.rpc.keeper_methods import ENTRY

ENTRY_POLL_INTERVAL_SECONDS = 2.0
ENTRY_POLL_TIMEOUT_SECONDS = 2.0


class EntryFollower:
    """Polls the keeper; keeps the last known hosts while it does not reply."""

    def __init__(self, context: RouterContext, crashes: CrashWatch) -> None:
        self.hosts: tuple[EntryHost, ...] = ()
        self._context = context
        self._crashes = crashes
        self._sent_version = 0
        self._seen_version = 0

    async def run(self) -> None:
        """Follow the hosts until cancelled."""
        while True:
            await self.poll()
            await anyio.sleep(ENTRY_POLL_INTERVAL_SECONDS)

    async def poll(self) -> None:
        """Poll the keeper once and exchange crash records with it."""
        batch = self._crashes.changes(self._sent_version)
        req = EntryRequest(
            router=self._context.incarnation,
            crashes=batch.records,
            crashes_after=self._seen_version,
        )
        try:
            reply = await self._context.keeper.call(
                ENTRY, req, ENTRY_POLL_TIMEOUT_SECONDS
            )
        except RpcError:
            return
        self._sent_version = batch.version
        self._seen_version = reply.crashes_version
        self._crashes.merge(reply.crashes)
        if reply.hosts:
            self.hosts = reply.hosts
