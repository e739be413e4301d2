"""Stand-in for an endpoint that answers before it has read the request's body."""

from __future__ import annotations

import contextlib
import enum
import socket
from collections.abc import AsyncIterator

import anyio
import anyio.abc

from tests.standins.stamped_server import StampedServer, reset_when_closed

RECEIVE_BUFFER_BYTES = 2048
"""Buffer that a long body doesn't fit into."""

READ_BYTES = 16_384
PAUSE_SECONDS = 0.05


class Ending(enum.Enum):
    """How the server ends the connection after its answer."""

    RESET = "reset"
    LATE_RESET = "late_reset"
    """By a reset, PAUSE_SECONDS after the answer."""
    CLOSE = "close"
    """At once; the kernel resets it, as the body is not read."""
    HALF_CLOSE = "half_close"
    """In good order, by a reset PAUSE_SECONDS later."""
    READ_ON = "read_on"
    """In good order, and it reads the rest of the body."""


class EarlyServer(StampedServer):
    """Answers each request with given bytes as soon as it has read its head."""

    def __init__(self, server_id: str, answer: bytes, ending: Ending) -> None:
        super().__init__(server_id)
        self._answer = answer
        self._ending = ending

    @contextlib.asynccontextmanager
    async def serve(self) -> AsyncIterator[str]:
        """Serve on a free port and yield ``IP:port``."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        for sock in listener.listeners:
            sock.extra(anyio.abc.SocketAttribute.raw_socket).setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        self.address = f"127.0.0.1:{port}"
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, self._answer_early)
            yield self.address
            tasks.cancel_scope.cancel()

    async def _answer_early(self, stream: anyio.abc.SocketStream) -> None:
        errors = (anyio.EndOfStream, anyio.BrokenResourceError, OSError)
        with contextlib.suppress(*errors):
            head = await stream.receive(READ_BYTES)
            self.arrivals += bool(head)
            await stream.send(self._answer)
            await self._end(stream)
        await anyio.aclose_forcefully(stream)

    async def _end(self, stream: anyio.abc.SocketStream) -> None:
        if self._ending in {Ending.HALF_CLOSE, Ending.READ_ON}:
            await stream.send_eof()
        if self._ending is Ending.READ_ON:
            while True:
                await stream.receive(READ_BYTES)
        if self._ending in {Ending.LATE_RESET, Ending.HALF_CLOSE}:
            await anyio.sleep(PAUSE_SECONDS)
        if self._ending is not Ending.CLOSE:
            reset_when_closed(stream)
