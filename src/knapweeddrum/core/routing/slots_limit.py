"""Limit of one router's requests in flight for a route."""

from __future__ import annotations

import math
from collections.abc import Sequence

from knapweeddrum.core.routing.endpoint_view import EndpointView


def slots_limit(views: Sequence[EndpointView], routers: int) -> int:
    """Return how many requests this router may have in flight at the endpoints.

    The limit is an equal share of the slots among ``routers``, or the requests in
    flight here plus an equal share of the free slots if that is more; at least 1.
    """
    routers = max(1, routers)
    total = sum(view.slots for view in views)
    own = sum(view.in_flight for view in views)
    free = sum(
        max(0, view.slots - view.in_flight - view.other_routers_load())
        for view in views
    )
    equal_share = math.ceil(total / routers)
    return max(1, equal_share, own + math.ceil(free / routers))
