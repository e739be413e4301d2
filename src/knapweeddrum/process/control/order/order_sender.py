"""Sending of orders to engines."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import AbstractAsyncContextManager

import anyio

from knapweeddrum.endpoint.engine_order import EngineOrder
from knapweeddrum.endpoint.exceptions import EndpointError, OrderRefusedError
from knapweeddrum.endpoint.model_engine import ModelEngine
from knapweeddrum.process.control.exceptions import OrderDelayedError
from knapweeddrum.process.control.order.outstanding_order import OutstandingOrder
from knapweeddrum.value.order_state import OrderState

SEND_TIMEOUT_SECONDS = 10.0

EngineConnector = Callable[[str], AbstractAsyncContextManager[ModelEngine]]


class OrderSender:
    """Opens a connection for each order and closes it, whatever came of it."""

    def __init__(self, connect: EngineConnector) -> None:
        self._connect = connect

    async def send(self, order: OutstandingOrder, fence: int) -> OrderState:
        """Return ``done`` or ``refused``.

        Raises OrderDelayedError when the engine may or may not have taken it; the same
        issuer may send it again with the same number.
        """
        spec = order.spec
        message = EngineOrder(
            fence=fence,
            action=spec.action.value,
            model=spec.model,
            version=spec.version,
            adapter=spec.adapter,
            role=spec.role,
        )
        try:
            with anyio.fail_after(SEND_TIMEOUT_SECONDS):
                async with self._connect(order.endpoint.address) as engine:
                    await engine.order(message)
        except OrderRefusedError:
            return OrderState.REFUSED
        except (EndpointError, TimeoutError) as exc:
            raise OrderDelayedError(repr(exc)) from exc
        return OrderState.DONE
