"""Running a test function with an async body."""

from __future__ import annotations

import functools
from collections.abc import Awaitable, Callable

import anyio

HANG_LIMIT_SECONDS = 60.0
"""Ends a test that hangs; no test that works comes near it."""


def async_test(func: Callable[[], Awaitable[None]]) -> Callable[[], None]:
    """Return a test function that runs ``func`` in an event loop of its own."""

    async def limited() -> None:
        with anyio.fail_after(HANG_LIMIT_SECONDS):
            await func()

    @functools.wraps(func)
    def run() -> None:
        anyio.run(limited)

    return run
