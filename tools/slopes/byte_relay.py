"""TCP relay that counts bytes."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator

import anyio
import anyio.abc

LOOPBACK = "127.0.0.1"


class ByteRelay:
    """Forwards connections to a port and counts the bytes in both directions."""

    def __init__(self, target_port: int) -> None:
        self.bytes = 0
        self.port = 0
        self._target_port = target_port

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Listen on a free port while the context is open."""
        listener = await anyio.create_tcp_listener(local_host=LOOPBACK)
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, self._serve)
            yield
            tasks.cancel_scope.cancel()

    async def _serve(self, client: anyio.abc.SocketStream) -> None:
        async with (
            client,
            await anyio.connect_tcp(LOOPBACK, self._target_port) as peer,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(self._copy, client, peer)
            tasks.start_soon(self._copy, peer, client)

    async def _copy(
        self, source: anyio.abc.SocketStream, target: anyio.abc.SocketStream
    ) -> None:
        with contextlib.suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
            async for data in source:
                self.bytes += len(data)
                await target.send(data)
            await target.send_eof()
