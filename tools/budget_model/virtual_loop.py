"""An asyncio event loop in simulated time."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable, Coroutine

import anyio


class _VirtualSelector(selectors.SelectSelector):
    """Advances the simulated time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError("deadlock: all tasks wait and no timer is set")
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs timers in order of time without waiting; runs are deterministic."""

    def __init__(self) -> None:
        self._virtual = _VirtualSelector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Return simulated seconds."""
        return self._virtual.now


def run_virtual(main: Callable[[], Coroutine[object, object, None]]) -> None:
    """Run a coroutine function to its end in simulated time."""
    anyio.run(main, backend_options={"loop_factory": VirtualLoop})
