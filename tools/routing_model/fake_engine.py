"""Simulated model engine: continuous batching, priorities, prefix cache."""

from __future__ import annotations

import dataclasses
import random
from collections import OrderedDict
from collections.abc import Callable

from knapweeddrum.core.routing.load_sample import LoadSample
from knapweeddrum.value.identifiers import EndpointName
from tools.routing_model.event_loop import EventLoop
from tools.routing_model.simulated_request import SimulatedRequest

SLOTS = 16
STEP_SECONDS = 0.010
STEP_SECONDS_PER_RUN = 0.0006
PREFILL_TOKENS_PER_SECOND = 12_000.0
PREFILL_CHUNK_TOKENS = 512
CACHED_PREFIXES = 8
LOAD_REPORT_INTERVAL_SECONDS = 1.0
LOAD_REPORT_DELAY_SECONDS = 1.0
CACHE_EVENT_DELAY_SECONDS = 2.0
CACHE_EVENT_LOSS_FRACTION = 0.2


@dataclasses.dataclass(slots=True)
class _Run:
    request: SimulatedRequest
    on_token: Callable[[SimulatedRequest], None]
    on_end: Callable[[SimulatedRequest], None]
    number: int
    prefill_left: int = 0
    cancelled: bool = False


class FakeEngine:
    """Serves runs in steps; each step generates a token for each prefilled run."""

    def __init__(
        self,
        name: EndpointName,
        loop: EventLoop,
        rng: random.Random,
        slowness: float = 1.0,
    ) -> None:
        self.name = name
        self.work = 0.0
        self.wasted = 0.0
        self.on_report: list[Callable[[EndpointName, LoadSample], None]] = []
        self.on_cache_event: list[Callable[[EndpointName, str, int, bool], None]] = []
        self._loop = loop
        self._rng = rng
        self._slowness = slowness
        self._waiting: list[_Run] = []
        self._running: list[_Run] = []
        self._cache: OrderedDict[str, None] = OrderedDict()
        self._number = 0
        self._event_number = 0
        self._stepping = False
        loop.call_every(LOAD_REPORT_INTERVAL_SECONDS, self._report)

    def start(
        self,
        request: SimulatedRequest,
        on_token: Callable[[SimulatedRequest], None],
        on_end: Callable[[SimulatedRequest], None],
    ) -> None:
        """Queue a run."""
        self._number += 1
        self._waiting.append(_Run(request, on_token, on_end, self._number))
        self._waiting.sort(key=lambda run: (run.request.priority, run.number))
        if not self._stepping:
            self._stepping = True
            self._loop.call_later(0.0, self._begin_step)

    def cancel(self, request: SimulatedRequest) -> None:
        """Cancel a run; it ends before the next step."""
        for run in (*self._waiting, *self._running):
            if run.request is request:
                run.cancelled = True

    def _begin_step(self) -> None:
        self._waiting = [run for run in self._waiting if not run.cancelled]
        self._running = [run for run in self._running if not run.cancelled]
        while self._waiting and len(self._running) < SLOTS:
            self._admit(self._waiting.pop(0))
        if not self._running:
            self._stepping = False
            return
        prefilling = next((run for run in self._running if run.prefill_left), None)
        chunk = min(PREFILL_CHUNK_TOKENS, prefilling.prefill_left) if prefilling else 0
        decoding = [run for run in self._running if not run.prefill_left]
        if prefilling:
            prefilling.prefill_left -= chunk
        seconds = STEP_SECONDS + STEP_SECONDS_PER_RUN * len(decoding)
        seconds += chunk / PREFILL_TOKENS_PER_SECOND
        seconds *= self._slowness
        self._count_work(seconds, decoding, prefilling)
        self._loop.call_later(seconds, lambda: self._end_step(decoding))

    def _admit(self, run: _Run) -> None:
        request = run.request
        hit = request.prefix in self._cache
        run.prefill_left = request.prompt_tokens - (request.prefix_tokens if hit else 0)
        self._running.append(run)
        self._running.sort(key=lambda item: (item.request.priority, item.number))
        self._cache[request.prefix] = None
        self._cache.move_to_end(request.prefix)
        if not hit:
            self._publish(request.prefix, True)
        if len(self._cache) > CACHED_PREFIXES:
            evicted, _ = self._cache.popitem(last=False)
            self._publish(evicted, False)

    def _count_work(
        self, seconds: float, decoding: list[_Run], prefilling: _Run | None
    ) -> None:
        self.work += seconds
        runs = [*decoding, prefilling] if prefilling else decoding
        wasted_runs = sum(
            run.request.cancelled or run.request.abandoned for run in runs
        )
        self.wasted += seconds * wasted_runs / len(runs)

    def _end_step(self, decoding: list[_Run]) -> None:
        for run in decoding:
            if run.cancelled:
                continue
            run.request.generated_tokens += 1
            run.on_token(run.request)
            if run.request.generated_tokens >= run.request.output_tokens:
                self._running.remove(run)
                run.on_end(run.request)
        self._begin_step()

    def _report(self) -> None:
        sample = LoadSample(
            len(self._running), len(self._waiting), SLOTS, self._loop.now
        )

        def deliver() -> None:
            for callback in self.on_report:
                callback(self.name, sample)

        self._loop.call_later(LOAD_REPORT_DELAY_SECONDS, deliver)

    def _publish(self, prefix: str, stored: bool) -> None:
        self._event_number += 1
        number = self._event_number
        if self._rng.random() < CACHE_EVENT_LOSS_FRACTION:
            return

        def deliver() -> None:
            for callback in self.on_cache_event:
                callback(self.name, prefix, number, stored)

        self._loop.call_later(CACHE_EVENT_DELAY_SECONDS, deliver)
