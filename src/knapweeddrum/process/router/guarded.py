"""Wrapper of tasks whose failure must not end the router."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVarTuple, Unpack

from knapweeddrum.process.router.router_context import RouterContext
from knapweeddrum.telemetry.events import TASK_FAILED

ArgsT = TypeVarTuple("ArgsT")


async def guarded(
    context: RouterContext,
    task: str,
    func: Callable[[Unpack[ArgsT]], Awaitable[object]],
    *args: *ArgsT,
) -> None:
    """Call ``func``; an unexpected error is logged and ends only this task."""
    try:
        await func(*args)
    except Exception as exc:  # noqa: BLE001
        context.events.emit(TASK_FAILED, task=task, error=repr(exc))
