"""Stand-in for the link between one host and one server, which can be cut."""

from __future__ import annotations

import contextlib
import enum
import socket
import time
from collections.abc import AsyncIterator, Awaitable, Callable

import anyio
import anyio.abc

from tests.standins.stamped_server import reset_when_closed
from tools.free_ports import free_ports

BACKLOG = 128
FILLERS = 4
"""Connections that fill the queue of a listener which accepts no more than one."""
READ_BYTES = 65_536
PACKET_BYTES = 4096
"""Bytes that a link of limited rate carries at a time."""


class Cut(enum.Enum):
    """How a link is cut."""

    SILENT = "silent"
    """New connections aren't answered, nothing passes on open ones."""
    RESET = "reset"
    """New connections are refused, open ones are reset."""
    NEW_REFUSED = "new_refused"
    """New connections are refused, open ones live on."""


class NetworkLink:
    """Passes connections on to a server until it is cut.

    ``bytes_per_second`` is what it brings to the host on all connections together, None
    for no limit.
    """

    def __init__(
        self, endpoint_address: str, bytes_per_second: float | None = None
    ) -> None:
        self._endpoint_address = endpoint_address
        (self._port,) = free_ports(1)
        self._listener: socket.socket | None = None
        self._fillers: list[socket.socket] = []
        self._streams: set[anyio.abc.SocketStream] = set()
        self._passes = anyio.Event()
        self._passes.set()
        self._changed = anyio.Event()
        self._accepts = True
        self.bytes_per_second = bytes_per_second
        self._busy_until = 0.0

    @property
    def address(self) -> str:
        """Return ``IP:port`` at which the host finds the endpoint."""
        return f"127.0.0.1:{self._port}"

    @contextlib.asynccontextmanager
    async def serve(self) -> AsyncIterator[None]:
        """Pass connections on until the context is left."""
        self._listen()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._accept, tasks)
            yield
            tasks.cancel_scope.cancel()
        self._close_listener()

    def cut(self, how: Cut) -> None:
        """Cut the link."""
        self._accepts = False
        if how is Cut.SILENT:
            if self._passes.is_set():
                self._passes = anyio.Event()
            self._fill_queue()
            return
        self._close_listener()
        if how is Cut.RESET:
            self._reset_all()

    def restore(self) -> None:
        """Restore the link; what was held back passes."""
        for sock in self._fillers:
            sock.close()
        self._fillers = []
        self._close_listener()
        self._listen()
        self._passes.set()
        self._accepts = True
        self._wake()

    def _listen(self) -> None:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(("127.0.0.1", self._port))
        sock.listen(BACKLOG)
        self._listener = sock

    def _close_listener(self) -> None:
        if self._listener is not None:
            anyio.notify_closing(self._listener)
            self._listener.close()
            self._listener = None

    def _fill_queue(self) -> None:
        """Leave no room for further connections, whose packets are dropped then."""
        if self._listener is None:
            self._listen()
        assert self._listener is not None
        self._listener.listen(0)
        for _ in range(FILLERS):
            sock = socket.socket()
            sock.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                sock.connect(("127.0.0.1", self._port))
            self._fillers.append(sock)

    def _reset_all(self) -> None:
        for stream in self._streams:
            with contextlib.suppress(OSError, anyio.ClosedResourceError):
                reset_when_closed(stream)
                stream.extra(anyio.abc.SocketAttribute.raw_socket).shutdown(
                    socket.SHUT_RD
                )

    def _wake(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def _accept(self, tasks: anyio.abc.TaskGroup) -> None:
        while True:
            if not self._accepts or self._listener is None:
                await self._changed.wait()
                continue
            try:
                await anyio.wait_readable(self._listener)
                if not self._accepts or self._listener is None:
                    continue
                conn, _ = self._listener.accept()
            except (BlockingIOError, anyio.ClosedResourceError):
                continue
            conn.setblocking(False)
            tasks.start_soon(self._pass_on, conn)

    async def _pass_on(self, conn: socket.socket) -> None:
        stream = await anyio.abc.SocketStream.from_socket(conn)
        host, _, port = self._endpoint_address.rpartition(":")
        try:
            other = await anyio.connect_tcp(host, int(port))
        except OSError:
            reset_when_closed(stream)
            await anyio.aclose_forcefully(stream)
            return
        ends = {stream, other}
        self._streams |= ends
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._pump, stream, other, tasks, self._receive)
                tasks.start_soon(self._pump, other, stream, tasks, self._carry)
        finally:
            self._streams -= ends
            for end in ends:
                await anyio.aclose_forcefully(end)

    async def _receive(self, source: anyio.abc.SocketStream) -> bytes:
        return await source.receive(READ_BYTES)

    async def _carry(self, source: anyio.abc.SocketStream) -> bytes:
        """Return what the link brings next, at its rate and in turn."""
        rate = self.bytes_per_second
        if rate is None:
            return await self._receive(source)
        data = await source.receive(PACKET_BYTES)
        begins_at = max(time.monotonic(), self._busy_until)
        self._busy_until = begins_at + len(data) / rate
        await anyio.sleep(self._busy_until - time.monotonic())
        return data

    async def _pump(
        self,
        source: anyio.abc.SocketStream,
        sink: anyio.abc.SocketStream,
        tasks: anyio.abc.TaskGroup,
        take: Callable[[anyio.abc.SocketStream], Awaitable[bytes]],
    ) -> None:
        try:
            while True:
                data = await take(source)
                await self._passes.wait()
                await sink.send(data)
        except anyio.EndOfStream:
            await self._passes.wait()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            await self._passes.wait()
            with contextlib.suppress(OSError, anyio.ClosedResourceError):
                reset_when_closed(sink)
        tasks.cancel_scope.cancel()
