"""Interface of the routing policies."""

from __future__ import annotations

import abc
from collections.abc import Collection, Sequence

from knapweeddrum.core.routing.endpoint_view import EndpointView
from knapweeddrum.core.routing.request_features import RequestFeatures
from knapweeddrum.value.identifiers import EndpointName


class RoutingPolicy(abc.ABC):
    """Chooses one of the candidates for a request."""

    def choose(
        self,
        candidates: Sequence[EndpointView],
        features: RequestFeatures,
        now: float,
        exclude: Collection[EndpointName] = (),
    ) -> EndpointName | None:
        """Return an endpoint with fewer local requests than slots, or None.

        ``exclude`` names endpoints already tried; ``now`` is in monotonic seconds.
        """
        usable = [
            view
            for view in candidates
            if view.name not in exclude and view.in_flight < view.slots
        ]
        if not usable:
            return None
        return self._pick(usable, features, now).name

    @abc.abstractmethod
    def _pick(
        self, usable: list[EndpointView], features: RequestFeatures, now: float
    ) -> EndpointView:
        """Return one of the views, of which there is at least one."""
