"""One run of the routing simulation."""

from __future__ import annotations

import random

from knapweeddrum.core.admission.admission_controller import AdmissionController
from knapweeddrum.core.routing.least_reported_load import LeastReportedLoad
from knapweeddrum.core.routing.prefix_index import PrefixIndex
from knapweeddrum.core.routing.random_choice import RandomChoice
from knapweeddrum.core.routing.round_robin import RoundRobin
from knapweeddrum.core.routing.routing_policy import RoutingPolicy
from knapweeddrum.core.routing.sampled_load import SampledLoad
from knapweeddrum.value.identifiers import EndpointName
from tools.routing_model.event_loop import EventLoop
from tools.routing_model.fake_engine import FakeEngine
from tools.routing_model.fake_router import FakeRouter
from tools.routing_model.prefix_hash import PrefixHash
from tools.routing_model.routing_strategy import RoutingStrategy
from tools.routing_model.simulated_request import SimulatedRequest
from tools.routing_model.workload import Workload

ENGINES = 9
ROUTERS = 7
WARM_UP_SECONDS = 15.0
MEASURED_SECONDS = 60.0
DRAIN_SECONDS = 15.0


class RoutingRun:
    """Poisson arrivals at random routers; ``rate`` in requests per second.

    ``slowness`` is the factor by which the first engine is slower than the others.
    """

    def __init__(
        self, strategy: RoutingStrategy, rate: float, seed: int, slowness: float = 1.0
    ) -> None:
        self.requests: list[SimulatedRequest] = []
        self._loop = EventLoop()
        self._rate = rate
        self._rng = random.Random(f"{seed}/arrivals")
        self._workload = Workload(random.Random(f"{seed}/workload"))
        self.engines = [
            FakeEngine(
                EndpointName(f"desk-{number}"),
                self._loop,
                random.Random(f"{seed}/engine/{number}"),
                slowness if number == 0 else 1.0,
            )
            for number in range(ENGINES)
        ]
        self._routers = [
            self._new_router(strategy, random.Random(f"{seed}/router/{number}"), number)
            for number in range(ROUTERS)
        ]

    def run(self) -> None:
        """Run to the end; ``requests`` then has the arrivals of the measured period."""
        self._loop.call_later(0.0, self._arrive)
        self._loop.run_until(WARM_UP_SECONDS)
        self.requests.clear()
        for engine in self.engines:
            engine.work = 0.0
            engine.wasted = 0.0
        self._loop.run_until(WARM_UP_SECONDS + MEASURED_SECONDS)
        measured = list(self.requests)
        self._loop.run_until(WARM_UP_SECONDS + MEASURED_SECONDS + DRAIN_SECONDS)
        self.requests = measured

    def _arrive(self) -> None:
        request = self._workload.next_request(self._loop.now)
        self.requests.append(request)
        self._rng.choice(self._routers).receive(request)
        self._loop.call_later(self._rng.expovariate(self._rate), self._arrive)

    def _new_router(
        self, strategy: RoutingStrategy, rng: random.Random, number: int
    ) -> FakeRouter:
        index = PrefixIndex()
        controller = AdmissionController(rng)
        return FakeRouter(
            self._loop,
            self.engines,
            _new_policy(strategy, rng, index, number),
            None if strategy is RoutingStrategy.SAMPLED_UNADMITTED else controller,
            ROUTERS,
            index,
            passes_cancels=strategy is not RoutingStrategy.SAMPLED_UNCANCELLED,
        )


def _new_policy(
    strategy: RoutingStrategy, rng: random.Random, index: PrefixIndex, number: int
) -> RoutingPolicy:
    if strategy is RoutingStrategy.RANDOM:
        return RandomChoice(rng)
    if strategy is RoutingStrategy.ROUND_ROBIN:
        return RoundRobin(number)
    if strategy is RoutingStrategy.LEAST_REPORTED:
        return LeastReportedLoad()
    if strategy is RoutingStrategy.PREFIX_HASH:
        return PrefixHash()
    if strategy is RoutingStrategy.SAMPLED:
        return SampledLoad(rng)
    return SampledLoad(rng, index)
