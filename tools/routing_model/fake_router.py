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
from tools.routing_model.call import Call
from tools.routing_model.event_loop import EventLoop
from tools.routing_model.fake_engine import SLOTS, FakeEngine

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
        self._calls: dict[str, Call] = {}
        self._started: dict[str, tuple[EndpointName, float]] = {}
        for engine in engines:
            self._table.configure(engine.name, SLOTS, now=0.0)
            engine.on_report.append(self._record_load)
            engine.on_cache_event.append(self._record_cache_event)
        self._configure()
        if controller is not None:
            loop.call_every(ADMISSION_POLL_INTERVAL_SECONDS, self._poll)

    def receive(self, call: Call) -> None:
        """Receive a request from a caller."""
        self._calls[call.name] = call
        self._loop.call_later(
            call.deadline - self._loop.now, lambda: self._abandon_at_deadline(call)
        )
        if self._controller is None:
            self._dispatch(call)
            return
        req = AdmissionRequest(
            call.name, ROUTE, call.organisation, call.deadline, call.priority
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
            call = self._calls[decision.request_id]
            if isinstance(decision, Admitted):
                self._dispatch(call)
            elif isinstance(decision, Refused):
                call.refused = True

    def _dispatch(self, call: Call) -> None:
        now = self._loop.now
        features = RequestFeatures(call.priority, (call.prefix,))
        candidates = self._table.candidates(self._names, now)
        name = self._policy.choose(candidates, features, now)
        if name is None:
            call.refused = True
            self._release(call)
            return
        self._table.begin(name, now)
        self._started[call.name] = (name, now)
        if self._index is not None:
            self._index.routed(name, (call.prefix,), now)
        self._engines[name].start(call, self._record_token, self._end)

    def _record_token(self, call: Call) -> None:
        now = self._loop.now
        if call.cancelled or call.abandoned:
            return
        if call.first_token_at is None:
            call.first_token_at = now
        elif call.last_token_at is not None:
            call.gaps.append(now - call.last_token_at)
        call.last_token_at = now
        if call.tokens >= call.cancel_after and call.tokens < call.output_tokens:
            call.cancelled = True
            self._cancel(call)

    def _abandon_at_deadline(self, call: Call) -> None:
        if call.first_token_at is not None or call.refused:
            return
        call.abandoned = True
        if call.name in self._started:
            self._cancel(call)
        elif self._controller is not None:
            now = self._loop.now
            self._carry_out(self._controller.withdraw(ROUTE, call.name, now))

    def _cancel(self, call: Call) -> None:
        if self._passes_cancels:
            engine = self._engines[self._started[call.name][0]]
            self._loop.call_later(CANCEL_DELAY_SECONDS, lambda: engine.cancel(call))
            self._end(call)

    def _end(self, call: Call) -> None:
        name, started_at = self._started.pop(call.name)
        now = self._loop.now
        self._table.finish(name, AttemptResult.SUCCESS, started_at, now)
        self._release(call)

    def _release(self, call: Call) -> None:
        if self._controller is not None:
            now = self._loop.now
            self._carry_out(self._controller.release(ROUTE, call.name, now))

    def _record_load(self, name: EndpointName, sample: LoadSample) -> None:
        self._table.record_load(name, sample)

    def _record_cache_event(
        self, name: EndpointName, prefix: str, number: int, stored: bool
    ) -> None:
        if self._index is None:
            return
        take = self._index.stored if stored else self._index.evicted
        take(name, prefix, number, self._loop.now)
