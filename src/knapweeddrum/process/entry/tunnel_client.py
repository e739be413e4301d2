"""Connects to endpoints through other hosts."""

from __future__ import annotations

import time

import anyio
import msgspec

from knapweeddrum.core.catalog.endpoint_entry import EndpointEntry
from knapweeddrum.core.routing.tunnel_hosts import TunnelHosts
from knapweeddrum.http.client_connection import ClientConnection
from knapweeddrum.http.exceptions import (
    ExchangeError,
    NoPathError,
    NotSentError,
    PeerRefusedError,
)
from knapweeddrum.http.socket_options import send_keep_alives
from knapweeddrum.http.tunnel_stream import TunnelStream
from knapweeddrum.message.call.endpoint_tunnel import TunnelReply, TunnelRequest
from knapweeddrum.process.entry.endpoint_connector import (
    EndpointConnector,
    failed_result,
)
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.telemetry.counters import TUNNEL_FAILED_COUNT, TUNNEL_OPENED
from knapweeddrum.telemetry.entry_events import TUNNEL_REFUSED
from knapweeddrum.value.documents import MalformedDocumentError, decode_json
from knapweeddrum.value.host_record import HostRecord
from knapweeddrum.value.link_source import LinkSource
from knapweeddrum.value.probe_result import ProbeResult

TUNNEL_PATH = b"/endpoint-tunnel"

TUNNEL_TIMEOUT_SECONDS = 0.5
"""Time in which one of the hosts asked must have connected to the endpoint."""

HOST_CONNECT_TIMEOUT_SECONDS = 0.1
ENDPOINT_TIMEOUT_SECONDS = 0.2
"""Time in which the endpoint must accept the connection of the host asked."""

REPLY_TIMEOUT_SECONDS = ENDPOINT_TIMEOUT_SECONDS + 0.1
MAX_FAILED_HOSTS = 3
"""Hosts that can't reach an endpoint after which it counts as out of all reach.

Of hosts that were cut off a moment ago some may not know it yet.
"""

MAX_REPLY_BYTES = 4096
MAX_OWN_LAG_SECONDS = 0.1
"""Lag of this host from which on it may have missed an answer."""


class TunnelClient(EndpointConnector):
    """Asks other hosts, one after the other, to connect to an endpoint.

    The host that asks keeps all that belongs to the request: tokens, permits, time
    limit, retries. The other one passes bytes on, and only to an endpoint that it
    reaches itself.
    """

    def __init__(self, ctx: EntryContext) -> None:
        self._ctx = ctx
        self._hosts = TunnelHosts(ctx.rng)

    async def connect(self, entry: EndpointEntry, timeout: float) -> ClientConnection:
        """Connect through another host; ``timeout`` is extended for several hosts."""
        limit = max(timeout, TUNNEL_TIMEOUT_SECONDS)
        conn = await self._first_connected(entry, limit, is_probe=False)
        self._ctx.metrics.count(TUNNEL_OPENED)
        return conn

    async def probe(self, entry: EndpointEntry) -> ProbeResult | None:
        """Ask other hosts whether they reach an endpoint; None if none can be asked."""
        try:
            limit = TUNNEL_TIMEOUT_SECONDS
            conn = await self._first_connected(entry, limit, is_probe=True)
        except NoPathError:
            return None
        except NotSentError as exc:
            return failed_result(exc)
        await conn.close()
        return ProbeResult.CONNECTED

    async def _first_connected(
        self, entry: EndpointEntry, limit: float, *, is_probe: bool
    ) -> ClientConnection:
        """Return a connection through the first host that reaches the endpoint."""
        ends_at = time.monotonic() + limit
        failed: list[HostRecord] = []
        result = ProbeResult.UNANSWERED
        for host in self._candidates(entry):
            if time.monotonic() >= ends_at or len(failed) >= MAX_FAILED_HOSTS:
                break
            answer = await self._ask(host, entry, is_probe=is_probe)
            if isinstance(answer, ClientConnection):
                for other in failed:
                    self._avoid(other, entry, "another host reaches the endpoint")
                return answer
            if answer is None:
                continue
            failed.append(host)
            result = answer
        self._ctx.metrics.count(TUNNEL_FAILED_COUNT)
        if not failed:
            raise NoPathError(f"{entry.address}: no other host can connect")
        error = f"{entry.address}: {result} for {len(failed)} other hosts"
        if result is ProbeResult.REFUSED:
            raise PeerRefusedError(error)
        raise NotSentError(error)

    def _candidates(self, entry: EndpointEntry) -> list[HostRecord]:
        ctx = self._ctx
        return self._hosts.order(
            ctx.hosts.ready_hosts(),
            entry.service,
            ctx.settings.data_centre,
            time.monotonic(),
        )

    def avoid_silent(self, host: HostRecord, entry: EndpointEntry, error: str) -> None:
        """Ask a host no more that did not answer a question about an endpoint.

        It is asked again if this host is behind, which may be why.
        """
        now = time.monotonic()
        if self._ctx.loop_lag.current(now) < MAX_OWN_LAG_SECONDS:
            self._hosts.avoid(host, None, now)
        self._log_refusal(host, entry, error)

    def _avoid(self, host: HostRecord, entry: EndpointEntry, reason: str) -> None:
        self._hosts.avoid(host, entry.service, time.monotonic())
        self._log_refusal(host, entry, reason)

    def _log_refusal(self, host: HostRecord, entry: EndpointEntry, reason: str) -> None:
        self._ctx.events.emit(
            TUNNEL_REFUSED, host=host.name, endpoint=entry.endpoint_id, reason=reason
        )

    async def _ask(
        self, host: HostRecord, entry: EndpointEntry, *, is_probe: bool
    ) -> ClientConnection | ProbeResult | None:
        """Return a connection, how connecting failed there, or None if refused."""
        address = host.peer_address
        asked_at = time.monotonic()
        try:
            conn = await ClientConnection.connect(
                address,
                HOST_CONNECT_TIMEOUT_SECONDS,
                self._ctx.receiver(LinkSource.HOSTS),
            )
        except NotSentError as exc:
            self.avoid_silent(host, entry, repr(exc))
            return None
        self._record_trip(asked_at)
        is_kept = False
        try:
            reply = await self._reply(conn, address, entry, is_probe=is_probe)
            is_kept = reply.result is ProbeResult.CONNECTED
        except (ExchangeError, TimeoutError, MalformedDocumentError) as exc:
            self.avoid_silent(host, entry, repr(exc))
            return None
        finally:
            if not is_kept:
                with anyio.CancelScope(shield=True):
                    await conn.close()
        if reply.result is None:
            self._avoid(host, entry, str(reply.refusal))
        if not is_kept:
            return reply.result
        return self._tunnel(conn, host)

    def _record_trip(self, asked_at: float) -> None:
        """Record that another host was reached, though no endpoint is."""
        now = time.monotonic()
        self._ctx.link_load.record_trip(
            LinkSource.HOSTS, now - asked_at, now, is_answered=True
        )

    async def _reply(
        self,
        conn: ClientConnection,
        address: str,
        entry: EndpointEntry,
        *,
        is_probe: bool,
    ) -> TunnelReply:
        body = msgspec.json.encode(
            TunnelRequest(
                entry.endpoint_id,
                entry.started_at_ms,
                ENDPOINT_TIMEOUT_SECONDS,
                is_probe,
            )
        )
        headers = [
            (b"Host", address.encode()),
            (b"Content-Length", str(len(body)).encode()),
        ]
        with anyio.fail_after(REPLY_TIMEOUT_SECONDS):
            async with conn.exchange(b"POST", TUNNEL_PATH, headers, body):
                return decode_json(await conn.read_body(MAX_REPLY_BYTES), TunnelReply)

    def _tunnel(self, conn: ClientConnection, host: HostRecord) -> ClientConnection:
        stream, received = conn.detach()
        send_keep_alives(stream)
        tunnel = ClientConnection(
            TunnelStream(stream, received), self._ctx.receiver(LinkSource.HOSTS)
        )
        tunnel.via = host.name
        return tunnel
