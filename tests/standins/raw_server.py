"""An HTTP server that replies with given bytes or resets the connection."""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import AsyncIterator, Iterable

import anyio
import anyio.abc
import h11

from tests.standins.tcp_serving import serving

RESET = b""
"""A reply that stands for a reset of the connection."""
READ_BYTES = 65536


class RawServer:
    """Answers the n-th request with the n-th reply, over all connections.

    ``requests`` and ``connections`` are counters. With ``hang_up`` the connection is
    reset after each reply; ``hung_up`` is set once any connection has been closed.
    """

    def __init__(self, replies: Iterable[bytes], *, hang_up: bool = False) -> None:
        self.requests = 0
        self.connections = 0
        self.hung_up = anyio.Event()
        self._replies = list(replies)
        self._hang_up = hang_up

    @contextlib.asynccontextmanager
    async def serve(self) -> AsyncIterator[str]:
        """Serve on a free port and yield the URL."""
        async with serving(self._connection) as address:
            yield f"http://{address}"

    async def _connection(self, stream: anyio.abc.SocketStream) -> None:
        self.connections += 1
        async with stream:
            while await self._answer(stream):
                pass
        self.hung_up.set()

    async def _answer(self, stream: anyio.abc.SocketStream) -> bool:
        if not await self._request(stream):
            return False
        reply = self._replies[self.requests]
        self.requests += 1
        if reply != RESET:
            await stream.send(reply)
        if reply == RESET or self._hang_up:
            self._reset(stream)
            return False
        return True

    async def _request(self, stream: anyio.abc.SocketStream) -> bool:
        parser = h11.Connection(h11.SERVER)
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                try:
                    parser.receive_data(await stream.receive(READ_BYTES))
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return False
            elif isinstance(event, h11.EndOfMessage):
                return True

    def _reset(self, stream: anyio.abc.SocketStream) -> None:
        sock = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def json_reply(body: bytes) -> bytes:
    """Return a reply with status 200 and a JSON body."""
    return (
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
    )


def event_reply(*events: bytes) -> bytes:
    """Return a reply with status 200 and a whole stream of events."""
    body = b"".join(b"data: %s\n\n" % event for event in events)
    return (
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
    )
