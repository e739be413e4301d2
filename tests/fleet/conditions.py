"""Waiting for what real processes do."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TypeVar

HANG_LIMIT_SECONDS = 60.0
"""Ends a test that hangs; no test that works comes near it."""

POLL_SECONDS = 0.05

ResultT = TypeVar("ResultT")


def until(condition: Callable[[], ResultT], what: str) -> ResultT:
    """Return the condition's first true result."""
    limit = time.monotonic() + HANG_LIMIT_SECONDS
    while time.monotonic() < limit:
        result = condition()
        if result:
            return result
        time.sleep(POLL_SECONDS)
    raise AssertionError(f"never came: {what}")
