"""Serving a stand-in inside a test or as a separate process."""

from __future__ import annotations

import argparse
import contextlib
import signal
import socket
from collections.abc import AsyncIterator, Callable
from typing import Any

import anyio
import uvicorn

from tests.standins.embedded_server import EmbeddedServer
from tests.standins.stand_in import StandIn
from tests.standins.uvicorn_fault_injector import UvicornFaultInjector

START_POLL_INTERVAL_SECONDS = 0.002
KEEP_ALIVE_TIMEOUT_SECONDS = 30


@contextlib.asynccontextmanager
async def serve(
    app: StandIn[Any], address: str = "127.0.0.1", port: int = 0, *, exits: bool = False
) -> AsyncIterator[str]:
    """Serve a stand-in and yield its URL; port 0 selects a free port.

    The stand-in keeps its state, so it can be served again afterwards. With ``exits``
    a simulated crash ends the process.
    """
    with contextlib.closing(bind(address, port)) as sock:
        server = EmbeddedServer(_config(app))
        async with anyio.create_task_group() as tasks:
            app.attach(UvicornFaultInjector(server, exits=exits), tasks)
            tasks.start_soon(server.serve, [sock])
            while not server.started:
                await anyio.sleep(START_POLL_INTERVAL_SECONDS)
            try:
                yield f"http://{address}:{sock.getsockname()[1]}"
            finally:
                with anyio.CancelScope(shield=True):
                    await server.stop()
                tasks.cancel_scope.cancel()


def run_command(factory: Callable[[], StandIn[Any]], description: str) -> None:
    """Serve a stand-in as a process until SIGINT or SIGTERM."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    args = parser.parse_args()
    anyio.run(_serve_until_signal, factory(), args.address, args.port)


async def _serve_until_signal(app: StandIn[Any], address: str, port: int) -> None:
    signals = (signal.SIGINT, signal.SIGTERM)
    with anyio.open_signal_receiver(*signals) as received:
        async with serve(app, address, port, exits=True) as url:
            print(url, flush=True)
            async for _ in received:
                return


def bind(address: str, port: int) -> socket.socket:
    # asyncio only sets TCP_NODELAY on sockets that were created with IPPROTO_TCP.
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((address, port))
    return sock


def _config(app: StandIn[Any]) -> uvicorn.Config:
    return uvicorn.Config(
        app,
        http="h11",
        ws="none",
        lifespan="off",
        interface="asgi3",
        log_config=None,
        log_level="critical",
        access_log=False,
        timeout_keep_alive=KEEP_ALIVE_TIMEOUT_SECONDS,
    )
