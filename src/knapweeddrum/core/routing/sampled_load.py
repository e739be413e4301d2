"""Round-robin routing with sampled load and bounded prefix affinity."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable

from knapweeddrum.core.routing.endpoint_view import EndpointView
from knapweeddrum.core.routing.prefix_index import PrefixIndex
from knapweeddrum.core.routing.request_features import RequestFeatures
from knapweeddrum.core.routing.routing_policy import RoutingPolicy

SAMPLES = 2
"""Endpoints that are compared for one request."""

SWITCH_MARGIN = 0.25
"""Load per slot by which a sampled endpoint must be below the next to replace it."""

REPORT_HALF_LIFE_SECONDS = 5.0
"""Age at which a report has the same weight as the mean of all reports."""

AFFINITY_BONUS = 1.0
"""Load per slot by which a holder of all the prompt's prefixes may exceed others."""

AFFINITY_LOAD_FACTOR = 1.5
"""Multiple of the mean load up to which a holder is preferred."""

MAX_SAMPLED_HOLDERS = 2
"""Holders of a prefix that are compared besides the random samples."""


class SampledLoad(RoutingPolicy):
    """Chooses the next candidate in turn, or a random one with clearly less load.

    Round-robin spreads requests evenly among equal endpoints; the comparison of loads
    moves them away from slow or overloaded ones. The load is the other routers'
    requests in the last report plus the local requests in flight, per slot. With its
    age a report counts less and the mean of all counts more, so that a stale low
    figure doesn't attract all requests to one endpoint. An endpoint that holds the
    prompt's prefix is preferred, but only while its load is near the mean, so that a
    common prefix doesn't overload it.
    """

    def __init__(
        self,
        rng: random.Random,
        prefix_index: PrefixIndex | None = None,
        samples: int = SAMPLES,
    ) -> None:
        self._rng = rng
        self._prefix_index = prefix_index
        self._samples = samples
        self._turn: int | None = None

    def _pick(
        self, usable: list[EndpointView], features: RequestFeatures, now: float
    ) -> EndpointView:
        mean_other_routers_load = _mean(view.other_routers_load() for view in usable)
        best = self._next_or_less_loaded(usable, mean_other_routers_load, now)
        holder, coverage = self._best_holder(
            usable, features, mean_other_routers_load, now
        )
        if holder is None or holder is best:
            return best
        holder_load = estimated_load(holder, mean_other_routers_load, now)
        if holder_load > self._load_bound(usable, mean_other_routers_load, now):
            return best
        best_load = estimated_load(best, mean_other_routers_load, now)
        return holder if holder_load - AFFINITY_BONUS * coverage <= best_load else best

    def _next_or_less_loaded(
        self, usable: list[EndpointView], mean_other_routers_load: float, now: float
    ) -> EndpointView:
        """Return the next view in turn, or a sampled one with clearly less load."""
        next_in_turn = usable[self._next_turn(len(usable))]
        others = [view for view in usable if view is not next_in_turn]
        count = min(self._samples - 1, len(others))
        if count < 1:
            return next_in_turn
        sampled = self._rng.sample(others, count)
        other = min(
            sampled, key=lambda view: estimated_load(view, mean_other_routers_load, now)
        )
        gain = estimated_load(
            next_in_turn, mean_other_routers_load, now
        ) - estimated_load(other, mean_other_routers_load, now)
        return other if gain > SWITCH_MARGIN else next_in_turn

    def _next_turn(self, count: int) -> int:
        if self._turn is None:
            self._turn = self._rng.randrange(count)
        self._turn += 1
        return self._turn % count

    def _best_holder(
        self,
        usable: list[EndpointView],
        features: RequestFeatures,
        mean_other_routers_load: float,
        now: float,
    ) -> tuple[EndpointView | None, float]:
        if self._prefix_index is None or not features.prefixes:
            return None, 0.0
        match = self._prefix_index.match(features.prefixes, now)
        holders = [view for view in usable if view.name in match.endpoints]
        if not holders:
            return None, 0.0
        sampled = self._rng.sample(holders, min(MAX_SAMPLED_HOLDERS, len(holders)))
        best = min(
            sampled, key=lambda view: estimated_load(view, mean_other_routers_load, now)
        )
        return best, match.coverage

    def _load_bound(
        self, usable: list[EndpointView], mean_other_routers_load: float, now: float
    ) -> float:
        """Return the load per slot up to which a holder is preferred.

        One request at the smallest endpoint is added to the multiple of the mean.
        """
        mean = _mean(
            estimated_load(view, mean_other_routers_load, now) for view in usable
        )
        one_request = 1.0 / max(1, min(view.slots for view in usable))
        return AFFINITY_LOAD_FACTOR * mean + one_request


def estimated_load(
    view: EndpointView, mean_other_routers_load: float, now: float
) -> float:
    """Return the estimated requests per slot of an endpoint.

    ``mean_other_routers_load`` is the mean of ``other_routers_load`` of the endpoints
    that are compared, in requests.
    """
    weight = math.exp2(-view.report_age(now) / REPORT_HALF_LIFE_SECONDS)
    other_load = (
        weight * view.other_routers_load() + (1.0 - weight) * mean_other_routers_load
    )
    return (other_load + view.in_flight) / max(1, view.slots)


def _mean(values: Iterable[float]) -> float:
    total = 0.0
    count = 0
    for value in values:
        total += value
        count += 1
    return total / count
