"""HTTP server for an entry process's own pages and requests of other hosts."""

from __future__ import annotations

import dataclasses
from collections.abc import Awaitable, Callable, Mapping

import anyio
from anyio.abc import SocketStream

from knapweeddrum.http.exceptions import (
    MalformedRequestError,
    NoRoomError,
    PeerDisconnectedError,
)
from knapweeddrum.http.header_list import Header
from knapweeddrum.http.listener import listen
from knapweeddrum.http.server_connection import ServerConnection
from knapweeddrum.process.entry.client_connections import ClientRoom, ConnectionGate
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.telemetry.counters import MESSAGE_REJECTED_COUNT
from knapweeddrum.telemetry.entry_events import MESSAGE_REJECTED
from knapweeddrum.telemetry.events import TASK_FAILED
from knapweeddrum.value.documents import MalformedDocumentError
from knapweeddrum.value.link_source import LinkSource

MAX_HEAD_BYTES = 8192
IDLE_TIMEOUT_SECONDS = 15.0
HEAD_TIMEOUT_SECONDS = 3.0
BODY_TIMEOUT_SECONDS = 1.0
MAX_BODY_BYTES = 65_536

PageHandler = Callable[[bytes], Awaitable["PageAnswer"]]
"""Handler of one path; takes the body of the request.

It raises MalformedDocumentError for a body that it can't read.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class PageAnswer:
    """Response of a page."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    take_over: Callable[[SocketStream], Awaitable[None]] | None = None
    """Uses the connection after the response has been sent, and closes it."""
    discard: Callable[[], Awaitable[None]] | None = None
    """Called when the connection has ended, if ``take_over`` was called or not."""


class PageServer:
    """Serves pages by path at one address; query strings are ignored."""

    def __init__(
        self, ctx: EntryContext, address: str, pages: Mapping[bytes, PageHandler]
    ) -> None:
        self._ctx = ctx
        self._address = address
        self._pages = pages

    async def run(self) -> None:
        """Accept connections until cancelled."""
        connections = self._ctx.connections
        gate = ConnectionGate(connections, connections.pages)
        failed = self._ctx.record_accept_failure
        async with listen(self._address, failed, gate) as listener:
            await listener.serve(self._serve)

    async def _serve(self, stream: SocketStream) -> None:
        connections = self._ctx.connections
        room = ClientRoom(connections, connections.pages, stream)
        conn = ServerConnection(
            stream,
            MAX_HEAD_BYTES,
            on_receive=self._ctx.receiver(LinkSource.HOSTS),
            room=room,
        )
        try:
            while await self._serve_next(conn, room):
                pass
            await conn.close()
        except (PeerDisconnectedError, MalformedRequestError, NoRoomError):
            await conn.abort()
        finally:
            room.close()

    async def _serve_next(self, conn: ServerConnection, room: ClientRoom) -> bool:
        received = await conn.next_request(IDLE_TIMEOUT_SECONDS, HEAD_TIMEOUT_SECONDS)
        if received is None:
            return False
        body = await conn.read_body(MAX_BODY_BYTES, BODY_TIMEOUT_SECONDS)
        if conn.has_pending_input():
            # The client disconnected, perhaps while this process was suspended.
            return False
        answer = await self._answer(received.target.partition(b"?")[0], body)
        headers: list[Header] = [(b"Content-Type", answer.content_type.encode())]
        try:
            await conn.send_reply(answer.status, headers, answer.body)
            if answer.take_over is None:
                return conn.finish()
            # What the connection holds from here on is in another account.
            room.close()
            await answer.take_over(conn.detach())
            return False
        finally:
            if answer.discard is not None:
                with anyio.CancelScope(shield=True):
                    await answer.discard()

    async def _answer(self, path: bytes, body: bytes) -> PageAnswer:
        page = self._pages.get(path)
        if page is None:
            return PageAnswer(404)
        try:
            return await page(body)
        except MalformedDocumentError as exc:
            self._ctx.metrics.count(MESSAGE_REJECTED_COUNT)
            self._ctx.events.emit(MESSAGE_REJECTED, path=path.decode(), error=str(exc))
            return PageAnswer(400)
        except Exception as exc:  # noqa: BLE001
            # One page must not end the process, and with it the requests of callers.
            self._ctx.events.emit(
                TASK_FAILED, task=f"page {path.decode()}", error=repr(exc)
            )
            return PageAnswer(500)
