"""A service that endpoints provide."""

from __future__ import annotations

import dataclasses

from knapweeddrum.core.catalog.cold_ramp import ColdRamp


@dataclasses.dataclass(frozen=True, slots=True)
class EngineLimits:
    """Capacity of each model engine of a service."""

    slots: int
    cache_tokens: int
    tokens_per_event: int
    """Largest number of output tokens in one event of a stream."""


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service; all hosts together open up to ``max_connections`` to an endpoint."""

    name: str
    max_connections: int
    engine: EngineLimits | None = None
    """Capacity of each model engine, None if the endpoints are no model engines."""
    ramp: ColdRamp | None = None
    """Ramp of endpoints that are cold, None if the service has none."""
