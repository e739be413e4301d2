"""Detection of callers that close their connection."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator

import anyio

from knapweeddrum.process.router.body_reader import Receive, wait_disconnect
from knapweeddrum.process.router.exceptions import CallerGoneError, RefusedError


@contextlib.asynccontextmanager
async def while_connected(receive: Receive) -> AsyncIterator[None]:
    """Cancel the body of the context when the caller closes its connection.

    Raises CallerGoneError in that case; a RefusedError of the body is passed on.
    """
    disconnected = False
    refusal: RefusedError | None = None

    async def watch(scope: anyio.CancelScope) -> None:
        nonlocal disconnected
        await wait_disconnect(receive)
        disconnected = True
        scope.cancel()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch, tasks.cancel_scope)
        try:
            yield
        except RefusedError as exc:
            # Raised outside the task group, which would wrap it in an exception group.
            refusal = exc
        tasks.cancel_scope.cancel()
    if refusal is not None:
        raise refusal
    if disconnected:
        raise CallerGoneError
