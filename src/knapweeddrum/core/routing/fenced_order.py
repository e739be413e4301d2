"""An order with its fencing number."""

from __future__ import annotations

import dataclasses

from knapweeddrum.core.routing.order_issue import OrderIssue


@dataclasses.dataclass(frozen=True, slots=True)
class FencedOrder:
    """An accepted issue; ``fence`` is the log offset of its record."""

    issue: OrderIssue
    fence: int
    finished: bool = False
