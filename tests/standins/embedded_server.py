"""A uvicorn server inside another program."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator

import uvicorn


class EmbeddedServer(uvicorn.Server):
    """Leaves signals to the program around it and stops at once."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Capture none."""
        yield

    async def stop(self) -> None:
        """Close the listening socket and all connections, and end their tasks."""
        for server in self.servers:
            server.close()
        for protocol in list(self.server_state.connections):
            protocol.transport.abort()
        tasks = list(self.server_state.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
