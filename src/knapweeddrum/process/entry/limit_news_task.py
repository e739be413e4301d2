"""Tells the owners of endpoints' permits what answers said of limits."""

from __future__ import annotations

import time

import anyio

from knapweeddrum.message.call.endpoint_permit import LimitNews, LimitNewsReply
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.peer_client import PeerClient
from knapweeddrum.process.entry.permit_desk import LIMIT_NEWS_PATH
from knapweeddrum.value.identifiers import EndpointName


class LimitNewsTask:
    """Sends the owner what it can't know yet, as heartbeats are seconds apart.

    News that don't arrive are not sent again: the next question for a permit, and the
    next heartbeat, tell the same.
    """

    def __init__(self, ctx: EntryContext, peers: PeerClient) -> None:
        self._ctx = ctx
        self._peers = peers
        self._pending: set[EndpointName] = set()
        self._wake = anyio.Event()
        ctx.endpoint_limits.on_news = self._expect

    async def run(self) -> None:
        """Tell of news until cancelled."""
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            pending, self._pending = self._pending, set()
            async with anyio.create_task_group() as tasks:
                for instance in sorted(pending):
                    tasks.start_soon(self._tell, instance)

    def _expect(self, instance: EndpointName) -> None:
        self._pending.add(instance)
        self._wake.set()

    async def _tell(self, instance: EndpointName) -> None:
        owners = self._ctx.token_owners_before(instance)
        if not owners or self._peers.is_unresponsive(owners[0].peer_address):
            return
        limit = self._ctx.endpoint_limits.tell(instance, time.monotonic())
        await self._peers.post(
            owners[0].peer_address, LIMIT_NEWS_PATH, LimitNews(limit), LimitNewsReply
        )
