"""Routing by sampled load, with bounded prefix affinity."""

from __future__ import annotations

import math
import random

from knapweeddrum.core.routing.endpoint_view import EndpointView
from knapweeddrum.core.routing.request_features import RequestFeatures
from knapweeddrum.core.routing.routing_policy import RoutingPolicy

SAMPLES = 2
"""Endpoints that are compared for one request."""

REPORT_HALF_LIFE_SECONDS = 5.0
"""Age at which a report counts as much as the mean of all reports."""


class SampledLoad(RoutingPolicy):
    """The less loaded of a few random candidates.

    Load is what the last report counted of other routers' requests, joined with the
    local requests in flight, per slot. An old report moves towards the mean of all, so
    that a stale low figure doesn't draw everything to one endpoint.
    """

    def __init__(self, rng: random.Random, samples: int = SAMPLES) -> None:
        self._rng = rng
        self._samples = samples

    def _pick(
        self, usable: list[EndpointView], features: RequestFeatures, now: float
    ) -> EndpointView:
        count = min(self._samples, len(usable))
        sampled = self._rng.sample(usable, count)
        mean = _mean_foreign_load(usable)
        return min(sampled, key=lambda view: estimated_load(view, mean, now))


def estimated_load(view: EndpointView, mean: float, now: float) -> float:
    """Return the estimated requests per slot; ``mean`` is the others' mean load."""
    weight = math.exp2(-view.report_age(now) / REPORT_HALF_LIFE_SECONDS)
    foreign = weight * view.foreign_load() + (1.0 - weight) * mean
    return (foreign + view.in_flight) / max(1, view.slots)


def _mean_foreign_load(views: list[EndpointView]) -> float:
    return sum(view.foreign_load() for view in views) / len(views)
