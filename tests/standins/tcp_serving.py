"""Serving TCP connections inside a test."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

import anyio
import anyio.abc


@contextlib.asynccontextmanager
async def serving(
    handle: Callable[[anyio.abc.SocketStream], Awaitable[None]],
) -> AsyncIterator[str]:
    """Listen on a free port, pass each connection to ``handle``; yield ``IP:port``."""
    async with (
        await anyio.create_tcp_listener(local_host="127.0.0.1") as listener,
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(listener.serve, handle)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        yield f"127.0.0.1:{port}"
        tasks.cancel_scope.cancel()
