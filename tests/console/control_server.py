from __future__ import annotations

import contextlib
import threading
from collections.abc import Iterator

import anyio
import uvicorn

from tests.process.control.control_bench import ControlBench, control_bench
from tests.standins.embedded_server import EmbeddedServer

STOP_POLL_INTERVAL_SECONDS = 0.01


class ControlServer:
    """Serves the resource API on a loopback port, in its own thread."""

    def __init__(self) -> None:
        self.bench: ControlBench | None = None
        self.url = ""
        self._ready = threading.Event()
        self._stop = threading.Event()
        self._stop_streams = threading.Event()

    def stop_streams(self) -> None:
        """End the open streams as a stop signal would; other requests are served on."""
        self._stop_streams.set()

    def run(self) -> None:
        """Serve until stopped."""
        anyio.run(self._serve)

    @contextlib.contextmanager
    def running(self) -> Iterator[ControlServer]:
        """Serve while the context is open."""
        thread = threading.Thread(target=self.run)
        thread.start()
        try:
            self._ready.wait()
            yield self
        finally:
            self._stop.set()
            thread.join()

    async def _serve(self) -> None:
        async with control_bench() as bench, anyio.create_task_group() as tasks:
            config = uvicorn.Config(
                bench.process.app,
                host="127.0.0.1",
                port=0,
                lifespan="off",
                log_config=None,
                log_level="critical",
            )
            server = EmbeddedServer(config)
            tasks.start_soon(server.serve)
            while not server.started:
                await anyio.sleep(STOP_POLL_INTERVAL_SECONDS)
            port = server.servers[0].sockets[0].getsockname()[1]
            self.url = f"http://127.0.0.1:{port}"
            self.bench = bench
            self._ready.set()
            while not self._stop.is_set():
                if self._stop_streams.is_set():
                    bench.stopping.set()
                await anyio.sleep(STOP_POLL_INTERVAL_SECONDS)
            await server.stop()
            tasks.cancel_scope.cancel()
