"""Choice of the endpoint where a request is expected to start early enough."""

from __future__ import annotations

import random
from collections.abc import Callable

from knapweeddrum.core.capacity.expected_start import ExpectedStart, StartEstimate
from knapweeddrum.core.capacity.service_means import ServiceMeans, service_means
from knapweeddrum.core.placing.endpoint_state import EndpointState
from knapweeddrum.core.placing.placement_request import PlacementRequest
from knapweeddrum.core.placing.rendezvous import first_by_rank

EARLY_FRACTION = 0.15
"""Part of the target latency within which a session stays at its first endpoint."""

STAY_SECONDS = 0.03
"""Cost by which another endpoint must be better to take over."""

TIE_SECONDS = 0.01
"""Cost within which endpoints count as equal and one is chosen at random."""

READING_WEIGHT = 1.0
"""Cost of a second of reading a prompt, beside the later start of the request itself.

It delays the prompts that come next.
"""

IDLE_POWER = 2.0
"""Power of the idle part of the service's time by which the reading cost is divided.

Where all endpoints are busy, moved sessions would add prompts to read everywhere.
"""

RUNNING_WEIGHT = 0.3
"""The same for each request that runs there, whose tokens come later meanwhile."""

OUTPUT_WEIGHT = 0.15
"""Cost of a second of generating the answer, which other prompts interrupt."""

TOKEN_SECONDS = 0.004
"""Time that a token of the answer takes at a work time of 1."""

MAX_OUTPUT_TOKENS = 512
"""Output tokens above which a longer answer makes no difference; most end sooner."""

COMPARED_ENDPOINTS = 44
"""Endpoints whose costs are compared, beside those that know the session.

Comparing all 70 of a large service takes 0.23 ms, more than a decision may.
"""

MEANS_LIFETIME_SECONDS = 0.25
"""Time for which the means of a service are used; they take 70 endpoints' reading."""


DemandShare = Callable[[], float | None]
"""Returns this host's part of the fleet's requests, None if it is not known."""


class StartPlacer:
    """Chooses by expected start, for services whose endpoints report a work time."""

    def __init__(
        self,
        rng: random.Random,
        demand_share: DemandShare,
        on_move: Callable[[], None],
    ) -> None:
        self._rng = rng
        self._demand_share = demand_share
        self._on_move = on_move
        self._means: dict[str, tuple[float, ServiceMeans]] = {}

    def choose(
        self, eligible: list[EndpointState], req: PlacementRequest, now: float
    ) -> EndpointState:
        """Return the endpoint for a request with a prompt; there is at least one."""
        means = self._means_of(eligible, now)
        expected = ExpectedStart(means, now)
        first = first_by_rank(eligible, req.session) if req.session else None
        output_tokens = min(req.prompt.output_tokens, MAX_OUTPUT_TOKENS)
        output_weight = output_tokens * TOKEN_SECONDS * OUTPUT_WEIGHT
        idle = 1.0 - expected.mean_utilisation
        reading_weight = READING_WEIGHT / idle**IDLE_POWER
        first_cost = float("inf")
        if first is not None and not first.is_full(now):
            estimate = expected.estimate(first.capacity, req.prompt, is_first=True)
            if estimate.seconds <= req.target_latency * EARLY_FRACTION:
                return first
            first_cost = _cost(estimate, reading_weight, first.load(now), output_weight)
        free = self._compared(eligible, req.session, now)
        best, best_cost = free[0], float("inf")
        for state in free:
            estimate = expected.estimate(state.capacity, req.prompt, is_first=False)
            if estimate.seconds >= best_cost:
                continue
            cost = _cost(estimate, reading_weight, state.load(now), output_weight)
            cost += self._rng.random() * TIE_SECONDS
            if cost < best_cost:
                best, best_cost = state, cost
        if first is not None and first_cost <= best_cost + STAY_SECONDS:
            return first
        if first is not None and best is not first:
            self._on_move()
        return best

    def _compared(
        self, eligible: list[EndpointState], session: str, now: float
    ) -> list[EndpointState]:
        """Return endpoints with room: a random part, and those that know the session.

        All are returned if none of these has room.
        """
        compared = eligible
        if len(eligible) > COMPARED_ENDPOINTS:
            start = int(self._rng.random() * len(eligible))
            end = start + COMPARED_ENDPOINTS
            compared = eligible[start:end] + eligible[: max(0, end - len(eligible))]
            compared += [s for s in eligible if s.capacity.cached.knows(session)]
        return [s for s in compared if s.has_room(now)] or eligible

    def work_time(
        self, state: EndpointState, eligible: list[EndpointState], now: float
    ) -> float:
        """Return how long work takes at an endpoint, as a multiple of the usual."""
        means = self._means_of(eligible, now)
        return state.capacity.work_time.current(means.work_time, now)

    def _means_of(self, states: list[EndpointState], now: float) -> ServiceMeans:
        service = states[0].entry.service
        at, means = self._means.get(service, (float("-inf"), None))
        if means is None or not 0.0 <= now - at < MEANS_LIFETIME_SECONDS:
            capacities = [state.capacity for state in states]
            means = service_means(capacities, self._demand_share(), now)
            self._means[service] = (now, means)
        return means


def _cost(
    estimate: StartEstimate, reading_weight: float, running: float, output_weight: float
) -> float:
    """Return the expected start, and the delay of others and of the answer."""
    disturbed = reading_weight + RUNNING_WEIGHT * running
    output = output_weight * estimate.work_time * (1.0 + estimate.utilisation)
    return estimate.seconds + estimate.reading_seconds * disturbed + output
