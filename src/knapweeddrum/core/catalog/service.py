"""A service that endpoints provide."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class EngineLimits:
    """Capacity of each model engine of a service."""

    slots: int
    cache_tokens: int
    tokens_per_event: int
    """Largest number of output tokens in one event of a stream."""


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service; ``max_connections`` counts those of all hosts to one endpoint."""

    name: str
    max_connections: int
    engine: EngineLimits | None = None
