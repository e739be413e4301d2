"""Listening TCP sockets."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator

import anyio
from anyio.abc import SocketStream, TaskGroup

BACKLOG = 4096
"""Connections that may wait to be accepted."""

MAX_ACCEPTED_TOGETHER = 256
"""Connections accepted before what else is due gets its turn."""

ACCEPT_RETRY_SECONDS = 0.05
"""Pause after a connection could not be accepted, as descriptors are used up."""

ConnectionHandler = Callable[[SocketStream], Awaitable[None]]
FailureReporter = Callable[[OSError], None]


class Listener:
    """Accepts all connections that wait, in each pass of the event loop.

    One connection in several passes, as anyio's listener accepts them, makes callers
    wait for seconds where a pass takes milliseconds. A failure to accept, as for want
    of descriptors, is passed to ``on_failure``, one report for several in a row.
    """

    def __init__(self, sock: socket.socket, on_failure: FailureReporter) -> None:
        self._sock = sock
        self._on_failure = on_failure
        self._is_failing = False

    async def serve(
        self, handler: ConnectionHandler, tasks: TaskGroup | None = None
    ) -> None:
        """Run ``handler`` for each connection until cancelled.

        The handlers run in ``tasks`` if it is given, and outlive this call then.
        """
        async with contextlib.AsyncExitStack() as stack:
            group = tasks
            if group is None:
                group = await stack.enter_async_context(anyio.create_task_group())
            while True:
                await anyio.wait_readable(self._sock)
                try:
                    for conn in self._accept_waiting():
                        group.start_soon(_handle, conn, handler)
                except OSError as exc:
                    self._report(exc)
                    await anyio.sleep(ACCEPT_RETRY_SECONDS)

    def _accept_waiting(self) -> Iterator[socket.socket]:
        for _ in range(MAX_ACCEPTED_TOGETHER):
            try:
                conn, _ = self._sock.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            self._is_failing = False
            conn.setblocking(False)
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            yield conn

    def _report(self, exc: OSError) -> None:
        if not self._is_failing:
            self._is_failing = True
            self._on_failure(exc)


@contextlib.asynccontextmanager
async def listen(address: str, on_failure: FailureReporter) -> AsyncIterator[Listener]:
    """Listen at ``IP:port`` until the context is left; raises OSError."""
    host, _, port = address.rpartition(":")
    with contextlib.closing(socket.socket()) as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind((host, int(port)))
        sock.listen(BACKLOG)
        yield Listener(sock, on_failure)


async def _handle(conn: socket.socket, handler: ConnectionHandler) -> None:
    try:
        stream = await SocketStream.from_socket(conn)
    except (OSError, ValueError):
        # The peer has disconnected already.
        conn.close()
        return
    await handler(stream)
