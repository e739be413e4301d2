"""Routing by the load reports alone."""

from __future__ import annotations

from knapweeddrum.core.routing.endpoint_view import EndpointView
from knapweeddrum.core.routing.request_features import RequestFeatures
from knapweeddrum.core.routing.routing_policy import RoutingPolicy


class LeastReportedLoad(RoutingPolicy):
    """Chooses the least reported load per slot; a baseline for comparisons."""

    def _pick(
        self, usable: list[EndpointView], features: RequestFeatures, now: float
    ) -> EndpointView:
        return min(usable, key=_reported_load)


def _reported_load(view: EndpointView) -> float:
    if view.report is None:
        return 0.0
    return view.report.load / max(1, view.slots)
