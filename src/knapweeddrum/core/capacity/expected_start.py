"""When a request would begin at an endpoint."""

from __future__ import annotations

from typing import NamedTuple

from knapweeddrum.core.capacity.endpoint_capacity import EndpointCapacity
from knapweeddrum.core.capacity.prefill_speed import FIRST_STEP_SECONDS
from knapweeddrum.core.capacity.prompt_parts import PromptParts
from knapweeddrum.core.capacity.prompt_queue import RATE_SECONDS
from knapweeddrum.core.capacity.service_means import ServiceMeans

PROMPTS_OF_PRIOR = 4.0
"""Prompts that the mean of the service counts as against those sent to an endpoint."""

MAX_UTILISATION = 0.9
"""Utilisation at which the mean wait for prompts of other hosts no longer grows."""

RESIDUAL_FRACTION = 0.75
"""Mean rest of the prompt that is being read, as a part of the mean prompt.

It is 0.5 for prompts of equal length and more for a mix.
"""


class StartEstimate(NamedTuple):
    """When a request would begin at an endpoint, and what it would do there."""

    seconds: float
    """Time to the first event."""
    reading_seconds: float
    """Part of it in which the request's own prompt is read."""
    utilisation: float
    """Part of its time that the endpoint reads prompts."""
    work_time: float


class ExpectedStart:
    """Estimates the seconds until the first event of a request.

    Times are in monotonic seconds.
    """

    def __init__(self, means: ServiceMeans, now: float) -> None:
        share = means.demand_share
        self._means = means
        self._now = now
        prompts = means.recent_prompts
        own_weight = prompts / (prompts + PROMPTS_OF_PRIOR)
        fleet_factor = 1.0 / share if share else 1.0
        self._rate_weight = own_weight * fleet_factor / RATE_SECONDS
        """Factor from this host's recent tokens at an endpoint to the fleet's rate."""
        mean_rate = means.recent_tokens * fleet_factor / RATE_SECONDS
        token_seconds = means.work_time / means.tokens_per_second
        self.mean_utilisation = min(MAX_UTILISATION, mean_rate * token_seconds)
        """Part of their time that the service's endpoints read prompts."""
        self._mean_rate = (1.0 - own_weight) * mean_rate
        mean_tokens = means.recent_tokens / prompts if prompts > 0 else 0.0
        others = 1.0 - share if share else 0.0
        self._others_residual_tokens = mean_tokens * RESIDUAL_FRACTION * others

    def estimate(
        self, capacity: EndpointCapacity, prompt: PromptParts, *, is_first: bool
    ) -> StartEstimate:
        """Return what to expect of a prompt sent now.

        ``is_first`` tells whether all hosts prefer the endpoint for the prompt's
        session, so that it has the shared parts.
        """
        now = self._now
        queue = capacity.queue
        work_time = capacity.work_time.current(self._means.work_time, now)
        speed = capacity.speed.tokens_per_second(now) or self._means.tokens_per_second
        token_seconds = work_time / speed
        if is_first:
            cached = prompt.shared_tokens
        else:
            cached = capacity.cached.tokens(prompt, now)
        reading = max(0, prompt.tokens - cached) * token_seconds
        # A host that sends few prompts there takes the mean of the service.
        rate = self._mean_rate + self._rate_weight * queue.recent_tokens(now)
        utilisation = min(MAX_UTILISATION, rate * token_seconds)
        rest = self._others_residual_tokens * token_seconds
        mean_wait = utilisation / (1.0 - utilisation) * rest
        seconds = (
            queue.own_seconds(now)
            + max(queue.seen_wait(now), mean_wait)
            + reading
            + FIRST_STEP_SECONDS * work_time
        )
        return StartEstimate(seconds, reading, utilisation, work_time)
