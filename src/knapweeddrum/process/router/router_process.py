"""Start and stop of a router process."""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator

import anyio

from knapweeddrum.process.router.caller_server import listen
from knapweeddrum.process.router.router import Router, running_router
from knapweeddrum.process.router.router_context import RouterContext
from knapweeddrum.telemetry.build_id import build_id
from knapweeddrum.telemetry.events import PROCESS_STARTED, PROCESS_STOPPED

BINARY = "knapweed-router"

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


async def run_router_process(context: RouterContext) -> None:
    """Serve until SIGTERM or SIGINT, then drain; a second signal stops at once.

    Raises OSError if the address of the router cannot be bound.
    """
    host = context.settings.host
    listener = listen(str(host.address), host.router_port)
    with anyio.open_signal_receiver(*STOP_SIGNALS) as signals:
        async with running_router(context, listener) as router:
            context.events.emit(
                PROCESS_STARTED, binary=BINARY, host=host.name, build=build_id()
            )
            await anext(signals)
            await _drain_until_signal(signals, router)
    context.events.emit(PROCESS_STOPPED, binary=BINARY)


async def _drain_until_signal(
    signals: AsyncIterator[signal.Signals], router: Router
) -> None:
    """Drain the router; return early at the next signal."""
    async with anyio.create_task_group() as tasks:

        async def stop_at_signal() -> None:
            await anext(signals)
            tasks.cancel_scope.cancel()

        tasks.start_soon(stop_at_signal)
        await router.drain.run()
        tasks.cancel_scope.cancel()
