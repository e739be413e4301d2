"""Fairness between a small and a large organisation and lookups in an overload."""

from __future__ import annotations

import random
from collections.abc import Iterator

from knapweeddrum.core.admission.admission_controller import AdmissionController
from knapweeddrum.core.admission.admission_limits import AdmissionLimits
from knapweeddrum.core.admission.admission_request import AdmissionRequest
from knapweeddrum.core.admission.admitted import Admitted
from knapweeddrum.core.admission.queued import Queued
from knapweeddrum.core.admission.refused import Refused
from knapweeddrum.value.identifiers import OrganisationName, RouteName
from tools.routing_model.event_loop import EventLoop
from tools.routing_model.figures import fraction, percentile, rounded
from tools.routing_model.row import Row

SEEDS = (1, 2, 3)
MODEL_SLOTS = 20
MODEL_SECONDS = 2.0
LOOKUP_SECONDS = 0.005
DEADLINE_SECONDS = 10.0
DURATION_SECONDS = 120.0
QUEUE_LIMIT = 40
ADMISSION_POLL_INTERVAL_SECONDS = 0.25

REQUESTS_PER_SECOND = {"large": 30.0, "small": 1.0, "lookup": 20.0}
"""Arrival rates; the model route serves MODEL_SLOTS / MODEL_SECONDS per second."""


class _FairnessRun:
    """One router with a model route and, if ``separate``, another route for lookups."""

    def __init__(self, seed: int, fair: bool, separate: bool) -> None:
        self.waits: dict[str, list[float]] = {name: [] for name in REQUESTS_PER_SECOND}
        self.offered = dict.fromkeys(REQUESTS_PER_SECOND, 0)
        self._loop = EventLoop()
        self._rng = random.Random(seed)
        self._fair = fair
        self._lookup_route = RouteName("order-svc" if separate else "model-desk")
        self._controller = AdmissionController(random.Random(seed + 1000))
        limits = AdmissionLimits(MODEL_SLOTS, QUEUE_LIMIT, MODEL_SECONDS)
        self._controller.configure(RouteName("model-desk"), limits)
        self._controller.configure(RouteName("order-svc"), AdmissionLimits(8, 64, 0.01))
        self._requests: dict[str, tuple[str, AdmissionRequest, float]] = {}

    def run(self) -> None:
        """Run the simulation to its end."""
        for source in REQUESTS_PER_SECOND:
            self._loop.call_later(0.0, lambda source=source: self._arrive(source))
        self._loop.call_every(
            ADMISSION_POLL_INTERVAL_SECONDS,
            lambda: self._carry_out(self._controller.poll(self._loop.now)),
        )
        self._loop.run_until(DURATION_SECONDS)

    def _arrive(self, source: str) -> None:
        now = self._loop.now
        self._loop.call_later(
            self._rng.expovariate(REQUESTS_PER_SECOND[source]),
            lambda: self._arrive(source),
        )
        self.offered[source] += 1
        name = f"{source}-{self.offered[source]}"
        is_lookup = source == "lookup"
        req = AdmissionRequest(
            name,
            self._lookup_route if is_lookup else RouteName("model-desk"),
            OrganisationName(source if self._fair else "all"),
            now + DEADLINE_SECONDS,
        )
        self._requests[name] = (source, req, now)
        self._carry_out(self._controller.offer(req, now))

    def _carry_out(self, decisions: tuple[Admitted | Queued | Refused, ...]) -> None:
        for decision in decisions:
            if isinstance(decision, Admitted):
                self._serve(decision.request_id)

    def _serve(self, name: str) -> None:
        source, req, arrived_at = self._requests[name]
        self.waits[source].append(self._loop.now - arrived_at)
        mean = LOOKUP_SECONDS if source == "lookup" else MODEL_SECONDS
        seconds = mean * self._rng.uniform(0.5, 1.5)
        self._loop.call_later(seconds, lambda: self._release(req))

    def _release(self, req: AdmissionRequest) -> None:
        now = self._loop.now
        self._carry_out(self._controller.release(req.route, req.request_id, now))


def fairness_rows() -> Iterator[Row]:
    """Yield a row for each strategy and seed."""
    strategies = {
        "one_queue_for_all": (False, False),
        "fair_queue": (True, False),
        "fair_queue_separate_limits": (True, True),
    }
    for strategy, (fair, separate) in strategies.items():
        for seed in SEEDS:
            fairness_run = _FairnessRun(seed, fair, separate)
            fairness_run.run()
            yield Row("fairness", strategy, seed, _figures(fairness_run))


def _figures(fairness_run: _FairnessRun) -> dict[str, float | None]:
    figures: dict[str, float | None] = {}
    for source in REQUESTS_PER_SECOND:
        waits = fairness_run.waits[source]
        figures[f"{source}_served"] = fraction(len(waits), fairness_run.offered[source])
        figures[f"{source}_wait_p50"] = rounded(percentile(waits, 0.5))
        figures[f"{source}_wait_p95"] = rounded(percentile(waits, 0.95))
    return figures
