"""HTTP server for callers."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import AsyncIterator, Iterator

import anyio
import uvicorn

from knapweeddrum.process.router.router_app import RouterApp

LISTEN_BACKLOG = 1024
"""Maximum of connections that wait to be accepted."""

KEEP_ALIVE_TIMEOUT_SECONDS = 15
SHUTDOWN_TIMEOUT_SECONDS = 2
"""Time for open connections to end when the server stops, after any drain."""

START_CHECK_INTERVAL_SECONDS = 0.01


class CallerServer(uvicorn.Server):
    """A server that installs no signal handlers."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Do nothing: the router handles signals itself."""
        yield


def listen(address: str, port: int) -> socket.socket:
    """Return a listening socket; raises OSError if the address cannot be bound."""
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    # The protocol is named, because asyncio sets TCP_NODELAY only if it is known.
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((address, port))
        listener.listen(LISTEN_BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener


@contextlib.asynccontextmanager
async def caller_server(
    app: RouterApp, listener: socket.socket, header_limit_bytes: int
) -> AsyncIterator[None]:
    """Serve the application while the context is open."""
    config = uvicorn.Config(
        app,
        http="h11",
        ws="none",
        lifespan="off",
        log_config=None,
        log_level="critical",
        access_log=False,
        server_header=False,
        timeout_keep_alive=KEEP_ALIVE_TIMEOUT_SECONDS,
        timeout_graceful_shutdown=SHUTDOWN_TIMEOUT_SECONDS,
        h11_max_incomplete_event_size=header_limit_bytes,
    )
    server = CallerServer(config)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve, [listener])
        while not server.started:
            await anyio.sleep(START_CHECK_INTERVAL_SECONDS)
        try:
            yield
        finally:
            server.should_exit = True
