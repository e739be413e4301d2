"""States of orders on the log."""

from __future__ import annotations

import msgspec

from knapweeddrum.core.routing.order_issue import OrderIssue
from knapweeddrum.message.call.change_request import ChangeRequest
from knapweeddrum.message.resource.engine_order import EngineOrderSpec
from knapweeddrum.process.control.change_caller import ChangeCaller
from knapweeddrum.process.control.exceptions import (
    KeeperUnavailableError,
    ProblemError,
)
from knapweeddrum.process.control.order.outstanding_order import OutstandingOrder
from knapweeddrum.value.order_state import OrderState


class OrderStore:
    """Writes the state of an order as a change that replaces the version it saw.

    Of two writers the log's order lets the first win. A write that fails is tried
    again from the state that is then read; its verdict need not be known here.
    """

    def __init__(self, changes: ChangeCaller, incarnation: str) -> None:
        self._changes = changes
        self._incarnation = incarnation

    async def claim(self, order: OutstandingOrder, issue: OrderIssue) -> bool:
        """Make this process the issuer; True when that has been read back."""
        spec = msgspec.structs.replace(
            order.spec,
            state=OrderState.ISSUING,
            issuer=issue.issuer,
            requested_version=int(issue.order_id),
            checks_fence=issue.checks_fence,
        )
        return await self._write(order, spec)

    async def finish(self, order: OutstandingOrder, state: OrderState) -> bool:
        """Record the end of an order that this process has issued."""
        spec = msgspec.structs.replace(
            order.spec, state=state, fence=order.record.offset
        )
        return await self._write(order, spec)

    async def hand_back(self, order: OutstandingOrder) -> bool:
        """Give an order back that this process will never send again."""
        spec = msgspec.structs.replace(
            order.spec, state=OrderState.REQUESTED, issuer=""
        )
        return await self._write(order, spec)

    async def _write(self, order: OutstandingOrder, spec: EngineOrderSpec) -> bool:
        record = order.record
        request = ChangeRequest(
            change_id=f"{self._incarnation}/{record.offset}/{spec.state}",
            resource_kind=record.resource_kind,
            name=record.name,
            base_version=record.version,
            author=self._incarnation,
            body=msgspec.json.encode(spec),
        )
        try:
            await self._changes.change(request)
        except (ProblemError, KeeperUnavailableError):
            return False
        return True
