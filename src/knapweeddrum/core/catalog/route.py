"""A route from callers to services."""

from __future__ import annotations

import dataclasses

from knapweeddrum.core.catalog.route_kind import RouteKind


@dataclasses.dataclass(frozen=True, slots=True)
class Destination:
    """A service that a route leads to, and its weight among the route's services."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Requests to ``host_name`` below ``path_prefix``; times are in seconds."""

    name: str
    host_name: str
    path_prefix: str
    kind: RouteKind
    destinations: tuple[Destination, ...]
    timeout: float
    target_latency: float
    priority: int
    max_attempts: int = 1
    allow_anonymous: bool = False
    session_affinity: bool = False
    resumable: bool = False

    @property
    def idempotent(self) -> bool:
        """Return whether a request may be sent again after it may have run."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.SAFE

    @property
    def service_names(self) -> tuple[str, ...]:
        """Return the names of the services that requests may go to."""
        return tuple(destination.service for destination in self.destinations)

    def choose_service(self, fraction: float) -> str:
        """Return the service at ``fraction``, from 0 up to 1, of the total weight."""
        total = sum(destination.weight for destination in self.destinations)
        remaining = fraction * total
        for destination in self.destinations:
            remaining -= destination.weight
            if remaining < 0:
                return destination.service
        return self.destinations[-1].service
