"""Connects to endpoints for other hosts that have lost their own path."""

from __future__ import annotations

import time
from collections.abc import Collection

import anyio
import msgspec
from anyio.abc import SocketStream

from knapweeddrum.core.catalog.endpoint_entry import EndpointEntry
from knapweeddrum.core.load.held_connection import HeldConnection
from knapweeddrum.core.placing.endpoint_states import instance_name
from knapweeddrum.http.exceptions import NotSentError
from knapweeddrum.http.tunnel import Tunnel
from knapweeddrum.message.call.endpoint_tunnel import (
    TunnelRefusal,
    TunnelReply,
    TunnelRequest,
)
from knapweeddrum.process.entry.client_connections import CONNECTION_BYTES
from knapweeddrum.process.entry.endpoint_connector import failed_result
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.page_server import PageAnswer
from knapweeddrum.process.entry.path_connector import PathConnector
from knapweeddrum.telemetry.counters import TUNNEL_DENIED, TUNNEL_SERVED
from knapweeddrum.value.connection_phase import ConnectionPhase
from knapweeddrum.value.documents import decode_json
from knapweeddrum.value.identifiers import EndpointName
from knapweeddrum.value.link_source import LinkSource
from knapweeddrum.value.probe_result import ProbeResult

ANNOUNCE_SECONDS = 0.2

RECENT_FAILURE_SECONDS = 1.0
"""Time for which the failure of an own connection answers for the endpoint."""

SOCKETS_PER_TUNNEL = 2
MAX_SOCKET_FRACTION = 0.5
"""Part of the sockets for outgoing connections that tunnels may use."""

TUNNEL_BYTES = 2 * (CONNECTION_BYTES + 65_536)
"""Memory of a tunnel: two connections, and a read in each direction."""


class TunnelServer:
    """Opens tunnels, and ends them when this host drains."""

    def __init__(self, ctx: EntryContext, paths: PathConnector) -> None:
        self._ctx = ctx
        self._paths = paths
        self._tunnels: dict[Tunnel, EndpointName] = {}

    @property
    def open_count(self) -> int:
        """Return the number of open tunnels."""
        return len(self._tunnels)

    async def open(self, body: bytes) -> PageAnswer:
        """Connect to an endpoint for another host."""
        req = decode_json(body, TunnelRequest)
        entry = self._ctx.service_list.get(req.endpoint)
        if entry is None or entry.started_at_ms != req.started_at_ms:
            return self._deny(TunnelRefusal.UNLISTED)
        refusal = self._refusal(entry)
        if refusal is not None:
            return self._deny(refusal)
        failure = self._recent_failure(entry)
        if failure is not None:
            return _answer(TunnelReply(failure))
        if req.is_probe:
            return _answer(TunnelReply(await self._paths.probe_directly(entry)))
        return await self._connect(entry, req.timeout)

    async def announce_drain(self) -> None:
        """Tell the other hosts to use other tunnels.

        One that reads nothing at present is not waited for.
        """
        with anyio.move_on_after(ANNOUNCE_SECONDS):
            async with anyio.create_task_group() as tasks:
                for tunnel in self._tunnels:
                    tasks.start_soon(tunnel.announce_end)

    async def abort_silent(self, names: Collection[EndpointName], since: float) -> None:
        """Cut the tunnels to endpoints that sent nothing since a time."""
        for tunnel, name in list(self._tunnels.items()):
            if name in names and tunnel.received_at < since:
                await tunnel.abort()

    def _refusal(self, entry: EndpointEntry) -> TunnelRefusal | None:
        ctx = self._ctx
        if ctx.draining:
            return TunnelRefusal.DRAINING
        if ctx.emptied.is_emptied(entry.data_centre):
            return TunnelRefusal.EMPTIED
        if ctx.reach.is_path_lost(instance_name(entry)):
            return TunnelRefusal.CUT_OFF
        if ctx.link_load.sheds:
            return TunnelRefusal.LINK_FULL
        return None

    def _recent_failure(self, entry: EndpointEntry) -> ProbeResult | None:
        """Return how this host failed to connect a moment ago, if it did.

        Hosts that ask about an endpoint that is gone don't add to its load.
        """
        return self._ctx.reach.recent_failure(
            instance_name(entry), RECENT_FAILURE_SECONDS, time.monotonic()
        )

    def _deny(self, refusal: TunnelRefusal) -> PageAnswer:
        self._ctx.metrics.count(TUNNEL_DENIED)
        return _answer(TunnelReply(refusal=refusal))

    async def _connect(self, entry: EndpointEntry, timeout: float) -> PageAnswer:
        held = HeldConnection("tunnel", lambda: None, time.monotonic())
        held.enter(ConnectionPhase.SERVED, time.monotonic())
        if not self._reserve(held):
            return self._deny(TunnelRefusal.NO_ROOM)
        try:
            conn = await self._paths.connect_directly(entry, timeout)
        except NotSentError as exc:
            self._release(held)
            return _answer(TunnelReply(failed_result(exc)))
        except BaseException:
            self._release(held)
            raise

        async def discard() -> None:
            self._release(held)
            await conn.close()

        async def take_over(client: SocketStream) -> None:
            tunnel = Tunnel(
                client,
                conn.detach()[0],
                self._ctx.pool.buffer_bytes,
                self._ctx.receiver(LinkSource.HOSTS),
            )
            self._tunnels[tunnel] = instance_name(entry)
            try:
                await tunnel.run()
            finally:
                del self._tunnels[tunnel]

        self._ctx.metrics.count(TUNNEL_SERVED)
        reply = TunnelReply(ProbeResult.CONNECTED)
        return PageAnswer(200, _encode(reply), take_over=take_over, discard=discard)

    def _reserve(self, held: HeldConnection) -> bool:
        """Set descriptors and memory aside for a tunnel, if there is room."""
        pool = self._ctx.pool
        if pool.max_open is not None:
            most = int(pool.max_open * MAX_SOCKET_FRACTION)
            if pool.reserved + SOCKETS_PER_TUNNEL > most:
                return False
        memory = self._ctx.connections.memory
        if not memory.take(held, TUNNEL_BYTES, time.monotonic()):
            return False
        pool.reserved += SOCKETS_PER_TUNNEL
        return True

    def _release(self, held: HeldConnection) -> None:
        self._ctx.pool.reserved -= SOCKETS_PER_TUNNEL
        self._ctx.connections.memory.give_back(held, held.held)


def _answer(reply: TunnelReply) -> PageAnswer:
    return PageAnswer(200, _encode(reply))


def _encode(reply: TunnelReply) -> bytes:
    return msgspec.json.encode(reply)
