"""Notices that a host which passes connections on has fallen silent."""

from __future__ import annotations

import time

import anyio

from knapweeddrum.http.client_connection import ClientConnection
from knapweeddrum.message.call.endpoint_tunnel import TunnelReply, TunnelRequest
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.peer_client import PeerClient
from knapweeddrum.process.entry.tunnel_client import (
    ENDPOINT_TIMEOUT_SECONDS,
    REPLY_TIMEOUT_SECONDS,
    TUNNEL_PATH,
    TunnelClient,
)
from knapweeddrum.telemetry.entry_events import TUNNELS_GIVEN_UP
from knapweeddrum.value.identifiers import EndpointName

CHECK_INTERVAL_SECONDS = 0.25

SILENT_SECONDS = 0.5
"""Time without any byte on a connection after which its host is asked."""

ASK_INTERVAL_SECONDS = 1.0
"""Interval of the questions to one host."""


class TunnelWatch:
    """Gives up connections through hosts that don't answer.

    The kernel of a host that is paused or freezes keeps its connections open.
    """

    def __init__(
        self, ctx: EntryContext, peers: PeerClient, tunnels: TunnelClient
    ) -> None:
        self._ctx = ctx
        self._peers = peers
        self._tunnels = tunnels
        self._asked_at: dict[str, float] = {}

    async def run(self) -> None:
        """Look at the connections in use until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.sleep(CHECK_INTERVAL_SECONDS)
                for host, endpoint in self._silent(time.monotonic()).items():
                    tasks.start_soon(self._check, host, endpoint)

    def _silent(self, now: float) -> dict[str, EndpointName]:
        """Return the hosts to ask, each with an endpoint that it connects to."""
        found = {}
        for key, conn in self._ctx.pool.leased():
            if not conn.via or now - conn.received_at < SILENT_SECONDS:
                continue
            if now - self._asked_at.get(conn.via, float("-inf")) < ASK_INTERVAL_SECONDS:
                continue
            found[conn.via] = EndpointName(key)
        self._asked_at |= dict.fromkeys(found, now)
        return found

    async def _check(self, host: str, endpoint: EndpointName) -> None:
        """Ask a host for the endpoint; without an answer give up what it carries."""
        known = [h for h in self._ctx.hosts.known_hosts() if h.name == host]
        state = self._ctx.endpoint_states.find(endpoint)
        if not known or state is None:
            return
        question = TunnelRequest(
            state.entry.endpoint_id,
            state.entry.started_at_ms,
            ENDPOINT_TIMEOUT_SECONDS,
            is_probe=True,
        )
        reply = await self._peers.post(
            known[0].peer_address,
            TUNNEL_PATH,
            question,
            TunnelReply,
            REPLY_TIMEOUT_SECONDS,
        )
        if reply is None:
            self._tunnels.avoid_silent(known[0], state.entry, "silent")
            await self._give_up(host)

    async def _give_up(self, host: str) -> None:
        now = time.monotonic()

        def leads_through(_: str, conn: ClientConnection) -> bool:
            return conn.via == host

        def is_silent(key: str, conn: ClientConnection) -> bool:
            received_before = now - conn.received_at
            return leads_through(key, conn) and received_before >= SILENT_SECONDS

        await self._ctx.pool.close_idle(leads_through)
        given_up = await self._ctx.pool.give_up_leased(is_silent)
        self._ctx.events.emit(TUNNELS_GIVEN_UP, host=host, connections=given_up)
