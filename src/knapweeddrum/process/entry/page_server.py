"""HTTP server for an entry process's own pages and requests of other hosts."""

from __future__ import annotations

import dataclasses
from collections.abc import Awaitable, Callable, Mapping

from anyio.abc import SocketStream

from knapweeddrum.http.exceptions import MalformedRequestError, PeerDisconnectedError
from knapweeddrum.http.header_list import Header
from knapweeddrum.http.listener import FailureReporter, listen
from knapweeddrum.http.server_connection import ServerConnection

MAX_HEAD_BYTES = 8192
IDLE_TIMEOUT_SECONDS = 15.0
HEAD_TIMEOUT_SECONDS = 3.0
BODY_TIMEOUT_SECONDS = 1.0
MAX_BODY_BYTES = 65_536

PageHandler = Callable[[bytes], Awaitable["PageAnswer"]]
"""Handler of one path; takes the body of the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class PageAnswer:
    """Response of a page."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"


class PageServer:
    """Serves pages by path at one address; query strings are ignored."""

    def __init__(
        self,
        address: str,
        pages: Mapping[bytes, PageHandler],
        on_failure: FailureReporter,
    ) -> None:
        self._address = address
        self._pages = pages
        self._on_failure = on_failure

    async def run(self) -> None:
        """Accept connections until cancelled."""
        async with listen(self._address, self._on_failure) as listener:
            await listener.serve(self._serve)

    async def _serve(self, stream: SocketStream) -> None:
        conn = ServerConnection(stream, MAX_HEAD_BYTES)
        try:
            while await self._serve_next(conn):
                pass
        except (PeerDisconnectedError, MalformedRequestError):
            await conn.abort()
            return
        await conn.close()

    async def _serve_next(self, conn: ServerConnection) -> bool:
        received = await conn.next_request(IDLE_TIMEOUT_SECONDS, HEAD_TIMEOUT_SECONDS)
        if received is None:
            return False
        body = await conn.read_body(MAX_BODY_BYTES, BODY_TIMEOUT_SECONDS)
        if conn.has_pending_input():
            # The client disconnected, perhaps while this process was suspended.
            return False
        page = self._pages.get(received.target.partition(b"?")[0])
        answer = await page(body) if page is not None else PageAnswer(404)
        headers: list[Header] = [(b"Content-Type", answer.content_type.encode())]
        await conn.send_reply(answer.status, headers, answer.body)
        return conn.finish()
