"""Another host whose kept connection is lost within a question."""

from __future__ import annotations

import contextlib
import enum
import socket
import struct
from collections.abc import AsyncIterator
from typing import cast

import anyio
import anyio.abc

from tests.standins.raw_server import json_reply
from tools.free_ports import free_ports

CONSENT = json_reply(b'{"refused":[]}')
READ_BYTES = 65_536
ENDING_SECONDS = 0.02
"""Time from the loss of the connection until nobody listens any more."""
WAITING_CONNECTIONS = 4
"""More than a listener without a backlog keeps."""


class Address(enum.Enum):
    """What becomes of new connections to the host's address after the loss."""

    REFUSES = "refuses"
    """No process listens there."""
    REFUSES_SOON = "refuses_soon"
    """The process is ending, and its listening socket is closed last."""
    ACCEPTS = "accepts"
    """The process goes on."""
    SUCCESSOR = "successor"
    """Another process listens there."""
    UNANSWERED = "unanswered"
    """Neither an answer nor a refusal gets through."""


class Loss(enum.Enum):
    """How the connection is lost."""

    RESET = "reset"
    CLOSED = "closed"
    SILENT = "silent"
    """The connection stays, and the question gets no answer."""


class LostPeer:
    """Answers one question on a connection, and loses it at the next."""

    def __init__(self, port: int, loss: Loss, after: Address) -> None:
        self.address = f"127.0.0.1:{port}"
        self._port = port
        self._loss = loss
        self._after = after
        self._later = contextlib.AsyncExitStack()
        """Sockets that are opened after the loss."""

    @contextlib.asynccontextmanager
    async def serve(self) -> AsyncIterator[None]:
        """Listen until the context is left."""
        listeners = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=self._port
        )
        [self._listener] = cast(
            "list[anyio.abc.SocketListener]", list(listeners.listeners)
        )
        async with (
            self._later,
            self._listener,
            anyio.create_task_group() as self._tasks,
        ):
            self._tasks.start_soon(self._accept)
            yield
            self._tasks.cancel_scope.cancel()

    async def _accept(self) -> None:
        # Handlers outlive the listener that one of them closes.
        with contextlib.suppress(anyio.ClosedResourceError):
            await self._listener.serve(self._answer_first, self._tasks)

    async def _answer_first(self, stream: anyio.abc.SocketStream) -> None:
        async with stream:
            with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                await stream.receive(READ_BYTES)
                await stream.send(CONSENT)
                await stream.receive(READ_BYTES)
                await self._lose(stream)

    async def _lose(self, stream: anyio.abc.SocketStream) -> None:
        if self._loss is Loss.SILENT:
            await anyio.sleep_forever()
        if self._after is Address.REFUSES_SOON:
            self._tasks.start_soon(self._stop_listening, ENDING_SECONDS)
        elif self._after is not Address.ACCEPTS:
            await self._stop_listening()
        if self._after is Address.SUCCESSOR:
            self._listen_again(socket.SOMAXCONN)
        if self._after is Address.UNANSWERED:
            self._listen_again(0)
            self._fill_backlog()
        if self._loss is Loss.RESET:
            sock = stream.extra(anyio.abc.SocketAttribute.raw_socket)
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    async def _stop_listening(self, delay: float = 0.0) -> None:
        await anyio.sleep(delay)
        await self._listener.aclose()

    def _listen_again(self, backlog: int) -> None:
        sock = self._later.enter_context(socket.socket())
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", self._port))
        sock.listen(backlog)

    def _fill_backlog(self) -> None:
        for _ in range(WAITING_CONNECTIONS):
            sock = self._later.enter_context(socket.socket())
            sock.setblocking(False)
            sock.connect_ex(("127.0.0.1", self._port))


@contextlib.asynccontextmanager
async def lost_peer(loss: Loss, after: Address) -> AsyncIterator[LostPeer]:
    """Run such a host."""
    [port] = free_ports(1)
    peer = LostPeer(port, loss, after)
    async with peer.serve():
        yield peer
