"""Load generator with a constant rate."""

from __future__ import annotations

import math
import time
from collections.abc import Awaitable, Callable

import anyio


class PacedLoad:
    """Starts calls at a constant rate, without waiting for earlier ones."""

    def __init__(self, call: Callable[[int], Awaitable[bool]]) -> None:
        """``call`` takes the call's number and returns whether it succeeded."""
        self.latencies: list[float] = []
        self.failed = 0
        self._call = call

    async def run(self, rate: float, seconds: float) -> None:
        """Start ``rate`` calls per second for ``seconds`` and wait for all of them."""
        start = time.monotonic()
        async with anyio.create_task_group() as tasks:
            for number in range(math.ceil(rate * seconds)):
                pause = start + number / rate - time.monotonic()
                if pause > 0:
                    await anyio.sleep(pause)
                tasks.start_soon(self._timed, number)

    async def _timed(self, number: int) -> None:
        start = time.monotonic()
        if not await self._call(number):
            self.failed += 1
        self.latencies.append(time.monotonic() - start)

    def quantile(self, share: float) -> float:
        """Return a quantile of the latencies, in seconds."""
        ranked = sorted(self.latencies)
        return ranked[min(len(ranked) - 1, int(share * len(ranked)))]
