"""Serving TCP connections inside a test."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

import anyio
import anyio.abc


@contextlib.asynccontextmanager
async def serving(
    handle: Callable[[anyio.abc.SocketStream], Awaitable[None]], local_port: int = 0
) -> AsyncIterator[str]:
    """Listen, pass each connection to ``handle``; yield ``IP:port``.

    The port is a free one if ``local_port`` is 0.
    """
    async with (
        await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=local_port
        ) as listener,
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(_serve_until_closed, listener, handle)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        yield f"127.0.0.1:{port}"
        # As when a process ends, nobody gets a connection after the others have ended.
        await listener.aclose()
        tasks.cancel_scope.cancel()


async def _serve_until_closed(
    listener: anyio.abc.Listener[anyio.abc.SocketStream],
    handle: Callable[[anyio.abc.SocketStream], Awaitable[None]],
) -> None:
    try:
        await listener.serve(handle)
    except* anyio.ClosedResourceError:
        pass
