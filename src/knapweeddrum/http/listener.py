"""Listening TCP sockets."""

from __future__ import annotations

import anyio
from anyio.abc import Listener, SocketStream

BACKLOG = 4096
"""Connections that may wait to be accepted."""


async def listen(
    address: str,
) -> Listener[SocketStream]:
    """Listen at ``IP:port``; raises OSError."""
    host, _, port = address.rpartition(":")
    return await anyio.create_tcp_listener(
        local_host=host, local_port=int(port), backlog=BACKLOG, reuse_port=False
    )
