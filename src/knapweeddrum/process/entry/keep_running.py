"""Runs a task of the process again after an error."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio

from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.telemetry.counters import TASK_RESTARTED_COUNT
from knapweeddrum.telemetry.events import TASK_FAILED

RESTART_SECONDS = 0.5
"""Pause before a task that failed runs again."""


async def keep_running(
    ctx: EntryContext, name: str, task: Callable[[], Awaitable[None]]
) -> None:
    """Run a task until it returns; an error of it must not end callers' requests."""
    while True:
        try:
            await task()
        except Exception as exc:  # noqa: BLE001
            ctx.metrics.count(TASK_RESTARTED_COUNT)
            ctx.events.emit(TASK_FAILED, task=name, error=repr(exc))
            await anyio.sleep(RESTART_SECONDS)
            continue
        return
