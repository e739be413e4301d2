"""The HTTP server of the resource API."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

import uvicorn

from knapweeddrum.process.control.control_app import ControlApp


class ControlServer(uvicorn.Server):
    """A uvicorn server that leaves signal handling to the process that runs it."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


def control_server(
    app: ControlApp, address: str, port: int, stop_limit: float
) -> ControlServer:
    """Return a server; when stopped, requests in progress get ``stop_limit`` s."""
    config = uvicorn.Config(
        app,
        host=address,
        port=port,
        lifespan="off",
        http="h11",
        ws="none",
        interface="asgi3",
        access_log=False,
        log_config=None,
        server_header=False,
        timeout_graceful_shutdown=int(stop_limit) + 1,
    )
    return ControlServer(config)
