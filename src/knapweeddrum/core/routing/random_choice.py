"""Routing at random."""

from __future__ import annotations

import random

from knapweeddrum.core.routing.endpoint_view import EndpointView
from knapweeddrum.core.routing.request_features import RequestFeatures
from knapweeddrum.core.routing.routing_policy import RoutingPolicy


class RandomChoice(RoutingPolicy):
    """Chooses candidates with equal probability; a baseline for comparisons."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def _pick(
        self, usable: list[EndpointView], features: RequestFeatures, now: float
    ) -> EndpointView:
        return self._rng.choice(usable)
