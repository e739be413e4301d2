"""Orders that the stand-in engine took."""

from __future__ import annotations

from knapweeddrum.endpoint.order_body import OrderBody


class OrderBook:
    """Orders in the sequence in which they took effect."""

    def __init__(self) -> None:
        self.orders: list[OrderBody] = []
        self.refused = 0
        self._fence = 0

    def take(self, order: OrderBody, *, check_fence: bool) -> bool:
        """Return whether the order took effect."""
        if check_fence and order.fence < self._fence:
            self.refused += 1
            return False
        self._fence = max(self._fence, order.fence)
        self.orders.append(order)
        return True
