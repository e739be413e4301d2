"""Decorator for async test functions."""

from __future__ import annotations

import functools
from collections.abc import Awaitable, Callable

import anyio

HANG_LIMIT_SECONDS = 60.0
"""Time after which a test counts as hanging; working tests take far less."""


def async_test(func: Callable[[], Awaitable[None]]) -> Callable[[], None]:
    """Return a test function that runs ``func`` in its own event loop."""

    @functools.wraps(func)
    def run() -> None:
        run_async(func)

    return run


def run_async(func: Callable[..., Awaitable[None]], *args: object) -> None:
    """Run an async function in an event loop of its own, as a part of a test."""

    async def limited() -> None:
        with anyio.fail_after(HANG_LIMIT_SECONDS):
            await func(*args)

    anyio.run(limited)
