"""A caller's connection that is kept for several requests."""

from __future__ import annotations

import dataclasses
import os

import anyio
import anyio.abc
import h11

from knapweeddrum.http.header_list import HeaderList

READ_BYTES = 65_536
ANSWER_LIMIT_SECONDS = 8.0
"""Time after which an answer counts as not given."""
DISCONNECT_ERRORS = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


@dataclasses.dataclass(frozen=True, slots=True)
class KeptAnswer:
    """What a caller received for one request of a kept connection."""

    status: int
    headers: HeaderList
    body: bytes
    is_complete: bool

    @property
    def says_close(self) -> bool:
        """Return whether it says that the connection ends after it."""
        return self.headers.text(b"connection").lower() == "close"


class KeptConnection:
    """Sends requests whenever the test says so, also before an answer has ended."""

    def __init__(self, stream: anyio.abc.SocketStream) -> None:
        self._stream = stream
        self._rest = b""
        self.has_ended = False
        """Whether the peer has ended the connection within or before an answer."""

    @classmethod
    async def connect(cls, address: str) -> KeptConnection:
        """Connect to ``IP:port``."""
        host, _, port = address.rpartition(":")
        return cls(await anyio.connect_tcp(host, int(port)))

    def send_now(self, request: bytes) -> None:
        """Hand the bytes to the kernel without a turn of the event loop."""
        sock = self._stream.extra(anyio.abc.SocketAttribute.raw_socket)
        assert os.write(sock.fileno(), request) == len(request)

    async def send(self, request: bytes) -> None:
        """Send the bytes."""
        await self._stream.send(request)

    def fileno(self) -> int:
        """Return the descriptor of the socket, -1 once it is closed."""
        sock = self._stream.extra(anyio.abc.SocketAttribute.raw_socket)
        return sock.fileno()

    async def answer(self, limit: float = ANSWER_LIMIT_SECONDS) -> KeptAnswer | None:
        """Return the next answer, None if the connection ends before its head.

        An answer that isn't whole after ``limit`` seconds counts as not given.
        """
        parser = h11.Connection(h11.CLIENT)
        parser.send(h11.Request(method="POST", target="/", headers=[("Host", "a")]))
        parser.send(h11.EndOfMessage())
        if self._rest:
            parser.receive_data(self._rest)
        head: h11.Response | None = None
        body = bytearray()
        with anyio.move_on_after(limit):
            try:
                while True:
                    event = parser.next_event()
                    if event is h11.NEED_DATA:
                        parser.receive_data(await self._stream.receive(READ_BYTES))
                    elif isinstance(event, h11.Response):
                        head = event
                    elif isinstance(event, h11.Data):
                        body += event.data
                    elif isinstance(event, h11.EndOfMessage):
                        self._rest = parser.trailing_data[0]
                        return _answer(head, bytes(body), is_complete=True)
            except DISCONNECT_ERRORS:
                self.has_ended = True
        return _answer(head, bytes(body), is_complete=False)

    async def close(self) -> None:
        """Close at once."""
        await anyio.aclose_forcefully(self._stream)


def request_bytes(
    path: str, attempt: str, host: str, key: str, body: bytes = b"question"
) -> bytes:
    """Return an encoded request."""
    return (
        f"POST {path} HTTP/1.1\r\nHost: {host}\r\nAttempt-Id: {attempt}\r\n"
        f"Deadline-Ms: 4000\r\nAuthorization: Bearer {key}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def _answer(
    head: h11.Response | None, body: bytes, *, is_complete: bool
) -> KeptAnswer | None:
    if head is None:
        return None
    headers = HeaderList(head.headers.raw_items())
    return KeptAnswer(head.status_code, headers, body, is_complete)
