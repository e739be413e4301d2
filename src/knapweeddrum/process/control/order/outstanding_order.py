"""An order that is not finished."""

from __future__ import annotations

import dataclasses

from knapweeddrum.core.routing.order_book import OrderBook
from knapweeddrum.core.routing.order_issue import OrderIssue
from knapweeddrum.message.call.resource_record import ResourceRecord
from knapweeddrum.message.resource.endpoint import Endpoint
from knapweeddrum.message.resource.engine_order import EngineOrderSpec
from knapweeddrum.value.identifiers import EndpointName, Incarnation
from knapweeddrum.value.order_state import OrderState


@dataclasses.dataclass(frozen=True, slots=True)
class OutstandingOrder:
    """The resource's version, its specification, and the engine's endpoint."""

    record: ResourceRecord
    spec: EngineOrderSpec
    endpoint: Endpoint

    @property
    def name(self) -> EndpointName:
        """Return the name of the order, which is that of its endpoint."""
        return EndpointName(self.record.name)

    @property
    def order_id(self) -> str:
        """Return what stays the same while the order changes its issuer."""
        if self.spec.state is OrderState.ISSUING:
            return str(self.spec.requested_version)
        return str(self.record.version)

    def book(self) -> OrderBook:
        """Return the order book as this version of the resource tells it."""
        book = OrderBook()
        if self.spec.state is OrderState.ISSUING:
            issue = OrderIssue(
                endpoint=self.name,
                order_id=self.order_id,
                issuer=Incarnation(self.spec.issuer),
                checks_fence=self.spec.checks_fence,
            )
            book.apply_issue(issue, self.record.offset)
        return book
