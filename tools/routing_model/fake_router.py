"""Simulated router."""

from __future__ import annotations

from knapweeddrum.core.admission.admission_controller import AdmissionController
from knapweeddrum.core.admission.admission_limits import AdmissionLimits
from knapweeddrum.core.admission.admission_request import AdmissionRequest
from knapweeddrum.core.admission.admitted import Admitted
from knapweeddrum.core.admission.queued import Queued
from knapweeddrum.core.admission.refused import Refused
from knapweeddrum.core.routing.attempt_result import AttemptResult
from knapweeddrum.core.routing.endpoint_table import EndpointTable
from knapweeddrum.core.routing.load_sample import LoadSample
from knapweeddrum.core.routing.prefix_index import PrefixIndex
from knapweeddrum.core.routing.request_features import RequestFeatures
from knapweeddrum.core.routing.routing_policy import RoutingPolicy
from knapweeddrum.core.routing.slots_limit import slots_limit
from knapweeddrum.value.identifiers import EndpointName, RouteName
from tools.routing_model.event_loop import EventLoop
from tools.routing_model.fake_engine import SLOTS, FakeEngine
from tools.routing_model.simulated_request import SimulatedRequest

ROUTE = RouteName("model-desk")
QUEUE_LIMIT = 500
SERVICE_SECONDS = 3.0
ADMISSION_POLL_INTERVAL_SECONDS = 0.25
CANCEL_DELAY_SECONDS = 0.01
"""Delay until a caller's cancel reaches the engine."""


class FakeRouter:
    """Admits requests, chooses engines and, with ``passes_cancels``, forwards cancels.

    Without ``controller`` each request is dispatched on arrival.
    """

    def __init__(
        self,
        loop: EventLoop,
        engines: list[FakeEngine],
        policy: RoutingPolicy,
        controller: AdmissionController | None,
        routers: int,
        index: PrefixIndex | None = None,
        passes_cancels: bool = True,
    ) -> None:
        self._loop = loop
        self._engines = {engine.name: engine for engine in engines}
        self._names = tuple(self._engines)
        self._policy = policy
        self._controller = controller
        self._routers = routers
        self._index = index
        self._passes_cancels = passes_cancels
        self._table = EndpointTable()
        self._requests: dict[str, SimulatedRequest] = {}
        self._started: dict[str, tuple[EndpointName, float]] = {}
        for engine in engines:
            self._table.configure(engine.name, SLOTS, now=0.0)
            engine.on_report.append(self._record_load)
            engine.on_cache_event.append(self._record_cache_event)
        self._configure()
        if controller is not None:
            loop.call_every(ADMISSION_POLL_INTERVAL_SECONDS, self._poll)

    def receive(self, request: SimulatedRequest) -> None:
        """Receive a request from a caller."""
        self._requests[request.name] = request
        self._loop.call_later(
            request.deadline - self._loop.now,
            lambda: self._abandon_at_deadline(request),
        )
        if self._controller is None:
            self._dispatch(request)
            return
        req = AdmissionRequest(
            request.name,
            ROUTE,
            request.organisation,
            request.deadline,
            request.priority,
        )
        self._carry_out(self._controller.offer(req, self._loop.now))

    def _configure(self) -> None:
        if self._controller is None:
            return
        views = self._table.candidates(self._names, self._loop.now)
        limit = slots_limit(views, self._routers)
        limits = AdmissionLimits(limit, QUEUE_LIMIT, SERVICE_SECONDS)
        self._controller.configure(ROUTE, limits)

    def _poll(self) -> None:
        assert self._controller is not None
        self._configure()
        self._carry_out(self._controller.poll(self._loop.now))

    def _carry_out(self, decisions: tuple[Admitted | Queued | Refused, ...]) -> None:
        for decision in decisions:
            request = self._requests[decision.request_id]
            if isinstance(decision, Admitted):
                self._dispatch(request)
            elif isinstance(decision, Refused):
                request.refused = True

    def _dispatch(self, request: SimulatedRequest) -> None:
        now = self._loop.now
        features = RequestFeatures(request.priority, (request.prefix,))
        candidates = self._table.candidates(self._names, now)
        name = self._policy.choose(candidates, features, now)
        if name is None:
            request.refused = True
            self._release(request)
            return
        self._table.begin(name, now)
        self._started[request.name] = (name, now)
        if self._index is not None:
            self._index.routed(name, (request.prefix,), now)
        self._engines[name].start(request, self._record_token, self._end)

    def _record_token(self, request: SimulatedRequest) -> None:
        now = self._loop.now
        if request.cancelled or request.abandoned:
            return
        if request.first_token_at is None:
            request.first_token_at = now
        elif request.last_token_at is not None:
            request.token_gaps.append(now - request.last_token_at)
        request.last_token_at = now
        if (
            request.generated_tokens >= request.cancel_after
            and request.generated_tokens < request.output_tokens
        ):
            request.cancelled = True
            self._cancel(request)

    def _abandon_at_deadline(self, request: SimulatedRequest) -> None:
        if request.first_token_at is not None or request.refused:
            return
        request.abandoned = True
        if request.name in self._started:
            self._cancel(request)
        elif self._controller is not None:
            now = self._loop.now
            self._carry_out(self._controller.withdraw(ROUTE, request.name, now))

    def _cancel(self, request: SimulatedRequest) -> None:
        if self._passes_cancels:
            engine = self._engines[self._started[request.name][0]]
            self._loop.call_later(CANCEL_DELAY_SECONDS, lambda: engine.cancel(request))
            self._end(request)

    def _end(self, request: SimulatedRequest) -> None:
        name, started_at = self._started.pop(request.name)
        now = self._loop.now
        self._table.finish(name, AttemptResult.SUCCESS, started_at, now)
        self._release(request)

    def _release(self, request: SimulatedRequest) -> None:
        if self._controller is not None:
            now = self._loop.now
            self._carry_out(self._controller.release(ROUTE, request.name, now))

    def _record_load(self, name: EndpointName, sample: LoadSample) -> None:
        self._table.record_load(name, sample)

    def _record_cache_event(
        self, name: EndpointName, prefix: str, number: int, stored: bool
    ) -> None:
        if self._index is None:
            return
        take = self._index.stored if stored else self._index.evicted
        take(name, prefix, number, self._loop.now)
