"""The weight store's rate limit on loads."""

from __future__ import annotations

from collections.abc import Callable

from knapweeddrum.platform.exceptions import PlatformError
from knapweeddrum.platform.weight_store import WeightStore
from knapweeddrum.process.control.exceptions import OrderDelayedError
from knapweeddrum.process.control.order.outstanding_order import OutstandingOrder
from knapweeddrum.value.engine_action import EngineAction


class FetchGate:
    """Reserves a fetch before an engine is told to load."""

    def __init__(self, weights: WeightStore, clock: Callable[[], float]) -> None:
        self._weights = weights
        self._clock = clock
        self._not_before: dict[str, float] = {}

    async def is_open(self, order: OutstandingOrder) -> bool:
        """Return whether the order may go out now; False means to ask later.

        Raises OrderDelayedError when the weight store can't be asked.
        """
        if order.spec.action is not EngineAction.LOAD:
            return True
        if self._clock() < self._not_before.get(order.name, 0.0):
            return False
        try:
            wait = await self._weights.reserve_fetch(
                order.spec.model, order.spec.version
            )
        except PlatformError as exc:
            raise OrderDelayedError(f"weight store: {exc}") from exc
        if wait <= 0:
            self._not_before.pop(order.name, None)
            return True
        self._not_before[order.name] = self._clock() + wait
        return False
