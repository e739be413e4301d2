"""Client for requests to other hosts."""

from __future__ import annotations

import time
from typing import TypeVar

import anyio
import msgspec

from knapweeddrum.http.client_connection import ClientConnection
from knapweeddrum.http.exceptions import (
    EndlessReplyError,
    ExchangeError,
    NoReplyError,
    NotSentError,
    PeerRefusedError,
)
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.telemetry import counters
from knapweeddrum.telemetry.entry_events import HOST_UNANSWERED
from knapweeddrum.value.documents import MalformedDocumentError, decode_json
from knapweeddrum.value.link_source import LinkSource

PEER_REQUEST_TIMEOUT_SECONDS = 0.15
"""Default time limit of a request to another host, from connect to reply.

A reply that has begun may take as long again for each further part of it.
"""
MAX_REPLY_SECONDS = 1.0
"""Time limit of a reply that comes in part by part."""
PEER_CONNECT_TIMEOUT_SECONDS = 0.1
MAX_PEER_CONNECTIONS = 8
MAX_REPLY_BYTES = 65_536
PEER_UNRESPONSIVE_SECONDS = 2.0
"""Time for which a host counts as unresponsive after a failed request."""
LINK_FULL_UNRESPONSIVE_SECONDS = 0.3
"""The same if the failure may be due to this host's own link, which was full.

Its queue is gone by then. With 2 s a host that lost one answer to its full link had no
tokens long after that had room again.
"""
PROBE_SECONDS = 0.1
"""Time for which connections to a host are tried after one was lost.

The listening socket of a killed process may be closed after its connections.
"""
PROBE_INTERVAL_SECONDS = 0.01

OK = 200
MAX_LAG_FRACTION = 0.3
"""Lag, as a fraction of a request's time limit, that may explain its failure."""

ReplyT = TypeVar("ReplyT", bound=msgspec.Struct)


class PeerClient:
    """Sends requests to the peer addresses of other hosts, without retries."""

    def __init__(self, ctx: EntryContext) -> None:
        self._ctx = ctx
        self._unresponsive_until: dict[str, float] = {}
        self._ended_until: dict[str, float] = {}

    def is_unresponsive(self, address: str) -> bool:
        """Return whether a request to a host failed a short time ago."""
        return self._unresponsive_until.get(address, 0.0) > time.monotonic()

    def has_ended(self, address: str) -> bool:
        """Return whether no process listened at an address a short time ago."""
        return self._ended_until.get(address, 0.0) > time.monotonic()

    async def post(
        self,
        address: str,
        path: bytes,
        message: msgspec.Struct,
        reply_type: type[ReplyT],
        timeout: float = PEER_REQUEST_TIMEOUT_SECONDS,
    ) -> ReplyT | None:
        """POST a message as JSON and return the decoded reply, None if that fails.

        ``timeout`` is in seconds.
        """
        asked_at = time.monotonic()
        give_up_at = asked_at + timeout
        body = msgspec.json.encode(message)
        headers = [
            (b"Host", address.encode()),
            (b"Content-Length", str(len(body)).encode()),
        ]
        lease = self._ctx.pool.lease(
            address,
            address,
            MAX_PEER_CONNECTIONS,
            PEER_CONNECT_TIMEOUT_SECONDS,
            self._ctx.receiver(LinkSource.HOSTS),
        )
        try:
            with anyio.fail_after(timeout) as scope:
                async with (
                    lease as conn,
                    conn.exchange(b"POST", path, headers, body) as head,
                ):
                    answer = await _read_body(conn, scope, timeout)
            self._record_trip(asked_at, is_answered=True)
            if head.status != OK:
                # Another start of the host, or one of the version before.
                return None
            return decode_json(answer, reply_type)
        except (ExchangeError, TimeoutError, MalformedDocumentError) as exc:
            self._record_failure(address, timeout, asked_at)
            self._record_trip(asked_at, is_answered=isinstance(exc, PeerRefusedError))
            if isinstance(exc, TimeoutError) and not self._was_link_full(asked_at):
                await self._ctx.pool.close_silent(address, asked_at)
            ended = await _nobody_listens(address, exc, give_up_at)
            if ended:
                now = time.monotonic()
                self._ended_until[address] = now + PEER_UNRESPONSIVE_SECONDS
            self._ctx.metrics.count(counters.HOST_UNANSWERED)
            self._ctx.events.emit(
                HOST_UNANSWERED,
                host=address,
                question=path.decode(),
                error=repr(exc),
                ended=ended,
            )
            return None

    def _record_trip(self, asked_at: float, *, is_answered: bool) -> None:
        now = time.monotonic()
        self._ctx.link_load.record_trip(
            LinkSource.HOSTS, now - asked_at, now, is_answered=is_answered
        )

    def _record_failure(self, address: str, timeout: float, asked_at: float) -> None:
        """Avoid the host, unless it is this one that is behind."""
        now = time.monotonic()
        if self._ctx.loop_lag.current(now) < timeout * MAX_LAG_FRACTION:
            self._unresponsive_until[address] = now + (
                LINK_FULL_UNRESPONSIVE_SECONDS
                if self._was_link_full(asked_at)
                else PEER_UNRESPONSIVE_SECONDS
            )

    def _was_link_full(self, since: float) -> bool:
        load = self._ctx.link_load
        return load.was_full_since(since) or load.is_late(time.monotonic())


async def _read_body(
    conn: ClientConnection, scope: anyio.CancelScope, timeout: float
) -> bytes:
    """Return the body; each part of it moves the deadline of ``scope``."""
    latest = anyio.current_time() + MAX_REPLY_SECONDS
    body = bytearray()
    while (data := await conn.next_data()) is not None:
        body += data
        if len(body) > MAX_REPLY_BYTES:
            raise EndlessReplyError(f"body exceeds {MAX_REPLY_BYTES} bytes")
        moved = min(latest, anyio.current_time() + timeout)
        scope.deadline = max(scope.deadline, moved)
    return bytes(body)


async def _nobody_listens(address: str, failure: Exception, give_up_at: float) -> bool:
    """Return whether a request failed because no process listens at its address.

    A lost connection doesn't show that, as a process may close one and go on, so
    others are tried; ``give_up_at`` is in monotonic seconds.
    """
    if not isinstance(failure, NoReplyError):
        return isinstance(failure, PeerRefusedError)
    probe_until = min(give_up_at, time.monotonic() + PROBE_SECONDS)
    while (time_left := probe_until - time.monotonic()) > 0:
        try:
            conn = await ClientConnection.connect(address, time_left)
        except PeerRefusedError:
            return True
        except NotSentError:
            # Cut off, or reset by a process that is ending.
            pass
        else:
            await conn.close()
        await anyio.sleep(PROBE_INTERVAL_SECONDS)
    return False
