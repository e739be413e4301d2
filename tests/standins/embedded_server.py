"""A uvicorn server that runs inside another program."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator

import uvicorn


class EmbeddedServer(uvicorn.Server):
    """Leaves signal handling to the program, and stops without a graceful shutdown."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield

    async def stop(self) -> None:
        """Close the listening socket and all connections, and cancel their tasks."""
        for server in self.servers:
            server.close()
        for protocol in list(self.server_state.connections):
            protocol.transport.abort()
        tasks = list(self.server_state.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
