"""Listening TCP sockets."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from typing import Protocol

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


class Gate(Protocol):
    """Decides which accepted connections stay open."""

    def admit(self) -> bool:
        """Return whether a connection may stay; ``leave`` follows if so."""

    def leave(self) -> None:
        """Record that the handler of an admitted connection begins, or none does."""


class Listener:
    """Accepts all connections that wait, in each pass of the event loop.

    One connection in several passes, as anyio's listener accepts them, makes callers
    wait for seconds where a pass takes milliseconds. A failure to accept, as for want
    of descriptors, is passed to ``on_failure``, one report for several in a row.
    """

    def __init__(
        self,
        sock: socket.socket,
        on_failure: FailureReporter,
        gate: Gate | None = None,
    ) -> None:
        self._sock = sock
        self._gate = gate
        self._on_failure = on_failure
        self._is_failing = False
        self.opening = 0
        """Connections that were accepted and whose handler has not begun."""

    async def serve(self, handler: ConnectionHandler) -> None:
        """Run ``handler`` for each connection until cancelled."""
        async with anyio.create_task_group() as tasks:
            await self._accept_until_cancelled(handler, tasks)

    async def serve_in(self, tasks: TaskGroup, handler: ConnectionHandler) -> None:
        """Run ``handler`` in ``tasks`` for each connection, until cancelled.

        Then the connections that wait are accepted and the socket is closed in one
        step, as their callers may have sent requests; the handlers outlive the call.
        """
        try:
            await self._accept_until_cancelled(handler, tasks)
        finally:
            while self._accept_waiting(handler, tasks) == MAX_ACCEPTED_TOGETHER:
                pass
            self._sock.close()

    async def _accept_until_cancelled(
        self, handler: ConnectionHandler, tasks: TaskGroup
    ) -> None:
        while True:
            await anyio.wait_readable(self._sock)
            self._accept_waiting(handler, tasks)
            if self._is_failing:
                await anyio.sleep(ACCEPT_RETRY_SECONDS)

    def _accept_waiting(self, handler: ConnectionHandler, tasks: TaskGroup) -> int:
        """Accept connections that wait; return how many, also of those refused."""
        count = 0
        try:
            for conn in self._accepted():
                count += 1
                if self._gate is not None and not self._gate.admit():
                    conn.close()
                    continue
                self.opening += 1
                tasks.start_soon(self._handle, conn, handler)
        except OSError as exc:
            self._report(exc)
        return count

    def _accepted(self) -> Iterator[socket.socket]:
        for _ in range(MAX_ACCEPTED_TOGETHER):
            try:
                conn, _ = self._sock.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            self._is_failing = False
            conn.setblocking(False)
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            yield conn

    async def _handle(self, conn: socket.socket, handler: ConnectionHandler) -> None:
        try:
            stream = await SocketStream.from_socket(conn)
        except (OSError, ValueError):
            # The peer has disconnected already.
            conn.close()
            return
        finally:
            self.opening -= 1
            if self._gate is not None:
                self._gate.leave()
        await handler(stream)

    def _report(self, exc: OSError) -> None:
        if not self._is_failing:
            self._is_failing = True
            self._on_failure(exc)


@contextlib.asynccontextmanager
async def listen(
    address: str, on_failure: FailureReporter, gate: Gate | None = None
) -> AsyncIterator[Listener]:
    """Listen at ``IP:port`` until the context is left; raises OSError."""
    host, _, port = address.rpartition(":")
    with contextlib.closing(socket.socket()) as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind((host, int(port)))
        sock.listen(BACKLOG)
        yield Listener(sock, on_failure, gate)
