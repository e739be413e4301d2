"""Round-robin routing."""

from __future__ import annotations

from knapweeddrum.core.routing.endpoint_view import EndpointView
from knapweeddrum.core.routing.request_features import RequestFeatures
from knapweeddrum.core.routing.routing_policy import RoutingPolicy


class RoundRobin(RoutingPolicy):
    """Chooses the candidates in turn; a baseline for comparisons.

    ``start`` is the index of the first choice, so that routers can begin at different
    endpoints.
    """

    def __init__(self, start: int = 0) -> None:
        self._turn = start

    def _pick(
        self, usable: list[EndpointView], features: RequestFeatures, now: float
    ) -> EndpointView:
        view = usable[self._turn % len(usable)]
        self._turn += 1
        return view
