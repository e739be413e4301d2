"""Routing in turn."""

from __future__ import annotations

from knapweeddrum.core.routing.endpoint_view import EndpointView
from knapweeddrum.core.routing.request_features import RequestFeatures
from knapweeddrum.core.routing.routing_policy import RoutingPolicy


class RoundRobin(RoutingPolicy):
    """The candidates in turn; a baseline.

    ``start`` is the first turn, so that routers need not begin at the same endpoint.
    """

    def __init__(self, start: int = 0) -> None:
        self._turn = start

    def _pick(
        self, usable: list[EndpointView], features: RequestFeatures, now: float
    ) -> EndpointView:
        view = usable[self._turn % len(usable)]
        self._turn += 1
        return view
