"""Stand-in for an endpoint that answers before it has read the request's body."""

from __future__ import annotations

import contextlib
import enum
import socket
from collections.abc import AsyncIterator

import anyio
from anyio.abc import TaskGroup

from knapweeddrum.http.socket_options import set_reset_on_close
from tests.standins.stamped_server import StampedServer

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
    """Answers each request with given bytes as soon as it has read its head.

    It reads from its sockets itself: a stream of the library may read on by itself.
    """

    def __init__(self, server_id: str, answer: bytes, ending: Ending) -> None:
        super().__init__(server_id)
        self._answer = answer
        self._ending = ending

    @contextlib.asynccontextmanager
    async def serve(self) -> AsyncIterator[str]:
        """Serve on a free port and yield ``IP:port``."""
        with socket.socket() as listener:
            listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            listener.setblocking(False)
            self.address = f"127.0.0.1:{listener.getsockname()[1]}"
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._accept, listener, tasks)
                yield self.address
                tasks.cancel_scope.cancel()

    async def _accept(self, listener: socket.socket, tasks: TaskGroup) -> None:
        while True:
            await anyio.wait_readable(listener)
            with contextlib.suppress(OSError):
                conn, _ = listener.accept()
                conn.setblocking(False)
                tasks.start_soon(self._answer_early, conn)

    async def _answer_early(self, conn: socket.socket) -> None:
        with conn, contextlib.suppress(OSError):
            head = await _receive(conn)
            if not head:
                return
            self.arrivals += 1
            conn.send(self._answer)
            await self._end(conn)

    async def _end(self, conn: socket.socket) -> None:
        if self._ending in {Ending.HALF_CLOSE, Ending.READ_ON}:
            conn.shutdown(socket.SHUT_WR)
        if self._ending is Ending.READ_ON:
            while await _receive(conn):
                pass
        if self._ending in {Ending.LATE_RESET, Ending.HALF_CLOSE}:
            await anyio.sleep(PAUSE_SECONDS)
        if self._ending is not Ending.CLOSE:
            set_reset_on_close(conn, is_reset=True)


async def _receive(conn: socket.socket) -> bytes:
    await anyio.wait_readable(conn)
    return conn.recv(READ_BYTES)
