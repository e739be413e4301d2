"""Event for the stop signals of a process."""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


@asynccontextmanager
async def stop_signal() -> AsyncIterator[anyio.Event]:
    """Yield an event that is set by the first stop signal; later ones do nothing."""
    stop = anyio.Event()

    async def listen() -> None:
        received = False
        try:
            with anyio.open_signal_receiver(*STOP_SIGNALS) as signals:
                async for _ in signals:
                    received = True
                    stop.set()
        finally:
            if received:
                # A further signal must not kill a process that is about to exit.
                signal.signal(signal.SIGTERM, signal.SIG_IGN)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listen)
        yield stop
        tasks.cancel_scope.cancel()
