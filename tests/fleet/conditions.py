"""Polling for conditions of real processes."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TypeVar

WAIT_TIMEOUT_SECONDS = 60.0
"""Fails a test that hangs; far above the duration of any passing wait."""

POLL_INTERVAL_SECONDS = 0.05

ResultT = TypeVar("ResultT")


def wait_until(condition: Callable[[], ResultT], what: str) -> ResultT:
    """Poll until the condition is truthy; return its result."""
    limit = time.monotonic() + WAIT_TIMEOUT_SECONDS
    while time.monotonic() < limit:
        result = condition()
        if result:
            return result
        time.sleep(POLL_INTERVAL_SECONDS)
    raise AssertionError(f"timed out waiting for {what}")
