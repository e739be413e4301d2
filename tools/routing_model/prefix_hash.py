"""Routing by rendezvous hash of the prompt's prefix."""

from __future__ import annotations

import zlib

from knapweeddrum.core.routing.endpoint_view import EndpointView
from knapweeddrum.core.routing.request_features import RequestFeatures
from knapweeddrum.core.routing.routing_policy import RoutingPolicy


class PrefixHash(RoutingPolicy):
    """Baseline for prefix affinity: ignores load, takes the highest rendezvous hash."""

    def _pick(
        self, usable: list[EndpointView], features: RequestFeatures, now: float
    ) -> EndpointView:
        prefix = features.prefixes[0]
        return max(
            usable, key=lambda view: zlib.crc32(f"{prefix}/{view.name}".encode())
        )
