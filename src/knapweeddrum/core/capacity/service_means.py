"""What is usual among the endpoints of one service."""

from __future__ import annotations

import dataclasses
import statistics
from collections.abc import Sequence

from knapweeddrum.core.capacity.endpoint_capacity import EndpointCapacity
from knapweeddrum.core.capacity.prefill_speed import DEFAULT_TOKENS_PER_SECOND


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceMeans:
    """Median speed and work time, and this host's mean load of an endpoint."""

    tokens_per_second: float
    work_time: float
    recent_tokens: float
    recent_prompts: float
    demand_share: float | None
    """This host's part of the fleet's requests, None if it is not known."""


def service_means(
    capacities: Sequence[EndpointCapacity], demand_share: float | None, now: float
) -> ServiceMeans:
    """Return the means over all endpoints of a service, at least one."""
    speeds = [
        speed
        for capacity in capacities
        if (speed := capacity.speed.tokens_per_second(now)) is not None
    ]
    work_times = [
        capacity.work_time.usual
        for capacity in capacities
        if capacity.work_time.usual is not None
    ]
    recent = [capacity.queue.recent(now) for capacity in capacities]
    return ServiceMeans(
        statistics.median(speeds) if speeds else DEFAULT_TOKENS_PER_SECOND,
        statistics.median(work_times) if work_times else 1.0,
        sum(tokens for tokens, _ in recent) / len(recent),
        sum(prompts for _, prompts in recent) / len(recent),
        demand_share,
    )
