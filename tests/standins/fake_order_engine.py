from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator

import anyio

from knapweeddrum.endpoint.engine_order import EngineOrder
from knapweeddrum.endpoint.exceptions import EndpointError, OrderRefusedError


class FakeOrderEngine:
    """The part of a model engine that takes orders."""

    def __init__(self, checks_fence: bool) -> None:
        self.checks_fence = checks_fence
        self.taken: list[EngineOrder] = []
        self.failures = 0
        self.lose_next_reply = False
        self._fence = -1

    @contextlib.asynccontextmanager
    async def connect(self, address: str) -> AsyncIterator[FakeOrderEngine]:
        yield self

    async def order(self, order: EngineOrder) -> None:
        await anyio.lowlevel.checkpoint()
        if self.failures:
            self.failures -= 1
            raise EndpointError("no reply")
        if self.checks_fence and order.fence < self._fence:
            raise OrderRefusedError("old fencing number")
        self._fence = max(self._fence, order.fence)
        self.taken.append(order)
        if self.lose_next_reply:
            self.lose_next_reply = False
            raise EndpointError("reply lost")
