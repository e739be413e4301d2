"""Client for requests to other hosts."""

from __future__ import annotations

import time
from typing import TypeVar

import anyio
import msgspec

from knapweeddrum.http.exceptions import ExchangeError
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.telemetry import counters
from knapweeddrum.telemetry.events import HOST_UNANSWERED

ASK_SECONDS = 0.15
"""Limit of one request to another host, from connect to reply."""
CONNECT_SECONDS = 0.1
MAX_CONNECTIONS = 8
REPLY_BYTES = 4096
SHUN_SECONDS = 2.0
"""Time for which a host counts as unresponsive after a failed request."""

Reply = TypeVar("Reply", bound=msgspec.Struct)


class PeerCaller:
    """Sends requests to the peer addresses of other hosts, without retries."""

    def __init__(self, ctx: EntryContext) -> None:
        self._ctx = ctx
        self._silent_until: dict[str, float] = {}

    def is_silent(self, address: str) -> bool:
        """Return whether a request to a host failed a short time ago."""
        return self._silent_until.get(address, 0.0) > time.monotonic()

    async def ask(
        self, address: str, path: bytes, question: msgspec.Struct, reply: type[Reply]
    ) -> Reply | None:
        """POST a message as JSON and return the decoded reply, None if that fails."""
        body = msgspec.json.encode(question)
        headers = [
            (b"Host", address.encode()),
            (b"Content-Length", str(len(body)).encode()),
        ]
        lease = self._ctx.pool.lease(address, address, MAX_CONNECTIONS, CONNECT_SECONDS)
        try:
            with anyio.fail_after(ASK_SECONDS):
                async with (
                    lease as conn,
                    conn.exchange(b"POST", path, headers, body),
                ):
                    answer = await conn.read_body(REPLY_BYTES)
            return msgspec.json.decode(answer, type=reply)
        except (ExchangeError, TimeoutError, msgspec.MsgspecError) as exc:
            self._silent_until[address] = time.monotonic() + SHUN_SECONDS
            self._ctx.metrics.count(counters.HOST_UNANSWERED)
            self._ctx.events.emit(
                HOST_UNANSWERED, host=address, question=path.decode(), error=repr(exc)
            )
            return None
