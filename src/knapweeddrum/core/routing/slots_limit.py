"""How many requests of a route one router may have in progress."""

from __future__ import annotations

import math
from collections.abc import Sequence

from knapweeddrum.core.routing.endpoint_view import EndpointView


def slots_limit(views: Sequence[EndpointView], routers: int) -> int:
    """Return a limit for the requests of this router at the endpoints.

    It is an equal share of the slots among ``routers``. When other routers leave slots
    free, it is also this router's requests in flight and its share of the free slots.
    """
    routers = max(1, routers)
    total = sum(view.slots for view in views)
    own = sum(view.in_flight for view in views)
    free = sum(
        max(0, view.slots - view.in_flight - view.foreign_load()) for view in views
    )
    fair = math.ceil(total / routers)
    return max(1, fair, own + math.ceil(free / routers))
