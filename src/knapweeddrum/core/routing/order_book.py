"""Orders to engines, as the log orders them."""

from __future__ import annotations

import dataclasses

from knapweeddrum.core.routing.exceptions import UnknownOrderError
from knapweeddrum.core.routing.fenced_order import FencedOrder
from knapweeddrum.core.routing.issue_verdict import IssueVerdict
from knapweeddrum.core.routing.order_issue import OrderIssue
from knapweeddrum.value.identifiers import EndpointName, Incarnation


class OrderBook:
    """Fold of the log's order records; each engine's newest accepted order.

    An engine that checks fencing numbers may be given a new order at any time: its
    number is higher. For an engine that ignores them a new issue is accepted only
    once the issuer of the last order has recorded its end, or an operator has
    released it. Time never releases it, because a paused issuer may wake and send.
    """

    def __init__(self) -> None:
        self._newest: dict[EndpointName, FencedOrder] = {}

    def newest(self, endpoint: EndpointName) -> FencedOrder | None:
        """Return the newest accepted order to an engine."""
        return self._newest.get(endpoint)

    def apply_issue(self, issue: OrderIssue, offset: int) -> IssueVerdict:
        """Fold an issue record; its offset is the fencing number if accepted."""
        newest = self._newest.get(issue.endpoint)
        if newest is not None and _blocks(newest, issue):
            return IssueVerdict.OUTSTANDING
        self._newest[issue.endpoint] = FencedOrder(issue, offset)
        return IssueVerdict.ACCEPTED

    def apply_finish(
        self, endpoint: EndpointName, issuer: Incarnation, fence: int
    ) -> None:
        """Fold the record of an issuer that its order has ended, well or not."""
        newest = self._newest.get(endpoint)
        if newest is None or newest.fence != fence or newest.issue.issuer != issuer:
            return
        self._newest[endpoint] = dataclasses.replace(newest, finished=True)

    def apply_release(self, endpoint: EndpointName, fence: int) -> None:
        """Fold an operator's record that the issuer will never send this order.

        Raises UnknownOrderError when it isn't the newest order to the engine.
        """
        newest = self._newest.get(endpoint)
        if newest is None or newest.fence != fence:
            raise UnknownOrderError(f"no order {fence} outstanding at {endpoint}")
        self._newest[endpoint] = dataclasses.replace(newest, finished=True)


def _blocks(newest: FencedOrder, issue: OrderIssue) -> bool:
    both_check = newest.issue.checks_fence and issue.checks_fence
    return not newest.finished and not both_check
