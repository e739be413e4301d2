"""Which orders one process may send to engines."""

from __future__ import annotations

from knapweeddrum.core.routing.fenced_order import FencedOrder
from knapweeddrum.core.routing.order_book import OrderBook
from knapweeddrum.core.routing.order_issue import OrderIssue
from knapweeddrum.value.identifiers import EndpointName, Incarnation


class FenceIssuer:
    """Decides for one incarnation what to append and what to send.

    An order is sent only after its issue record was read back as accepted, and with
    the record's offset as fencing number. Sending the same order again after a lost
    reply is harmless.
    """

    def __init__(self, issuer: Incarnation, book: OrderBook) -> None:
        self._issuer = issuer
        self._book = book

    def propose(
        self, endpoint: EndpointName, order_id: str, checks_fence: bool
    ) -> OrderIssue | None:
        """Return the issue record to append for a desired order, if any.

        None means that the order was issued already, or that an engine which ignores
        fencing numbers has another order outstanding.
        """
        newest = self._book.newest(endpoint)
        if newest is not None:
            if newest.issue.order_id == order_id and not self._is_orphan(newest):
                return None
            if not newest.finished and not (checks_fence and newest.issue.checks_fence):
                return None
        return OrderIssue(endpoint, order_id, self._issuer, checks_fence)

    def sendable(self, endpoint: EndpointName) -> FencedOrder | None:
        """Return the order that this process has to send to an engine, if any."""
        newest = self._book.newest(endpoint)
        if newest is None or newest.finished:
            return None
        return newest if newest.issue.issuer == self._issuer else None

    def _is_orphan(self, order: FencedOrder) -> bool:
        """Return whether another issuer took the order and hasn't finished it."""
        return not order.finished and order.issue.issuer != self._issuer
