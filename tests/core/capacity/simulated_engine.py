"""A model engine in simulated time."""

from __future__ import annotations

import collections
import heapq
import itertools
import random
from collections.abc import Callable

from knapweeddrum.core.capacity.prompt_parts import PromptParts
from knapweeddrum.core.placing.load_report import LoadReport

STEP_SECONDS = 0.0038
STEP_SECONDS_FOR_EACH = 0.00009
TOKENS_PER_SECOND = 56_600.0
CHUNK_TOKENS = 1_024
FIRST_EVENT_SECONDS = 0.016
TOKENS_PER_EVENT = 5
SLOTS = 64
CACHE_TOKENS = 502_000
REPORT_AGE_SECONDS = 0.2
SLOW_FACTOR = 2.5
SLOW_SECONDS = 0.6
SLOW_FRACTION = 0.15


class Clock:
    """Runs callbacks in the order of their times."""

    def __init__(self) -> None:
        self.now = 0.0
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def at(self, time: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self._due, (time, next(self._numbers), callback))

    def run(self, until: float) -> None:
        while self._due and self._due[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._due)
            callback()


class Run:
    """One request at an engine; it calls ``on_event`` for each event."""

    def __init__(
        self, prompt: PromptParts, events: int, on_event: Callable[[int], None]
    ) -> None:
        self.prompt = prompt
        self.events = events
        self.on_event = on_event
        self.unread = 0
        self.tokens = 0


class SimulatedEngine:
    """Prefills prompts in order, in chunks between the tokens of other requests."""

    def __init__(self, clock: Clock, rng: random.Random, base: float = 1.0) -> None:
        self.base = base
        self.slow_factor = SLOW_FACTOR
        self.knee = float(SLOTS)
        """Requests above which all work slows down, unreported."""
        self._clock = clock
        self._rng = rng
        self._cache: collections.OrderedDict[str, int] = collections.OrderedDict()
        self._cached_tokens = 0
        self._waiting: collections.deque[Run] = collections.deque()
        self._prompts: collections.deque[Run] = collections.deque()
        self._decoding: list[Run] = []
        self._is_stepping = False
        self._past = collections.deque([(float("-inf"), LoadReport(0, 0, SLOTS, base))])
        self._is_slow = False
        clock.at(rng.uniform(0.0, 4.0), self._start_slow)

    @property
    def work_time(self) -> float:
        return self.base * (self.slow_factor if self._is_slow else 1.0)

    @property
    def running(self) -> int:
        return len(self._prompts) + len(self._decoding)

    @property
    def waiting(self) -> int:
        return len(self._waiting)

    def submit(self, run: Run) -> None:
        self._waiting.append(run)
        self._fill_slots()
        if not self._is_stepping:
            self._is_stepping = True
            self._step()

    def report(self) -> LoadReport:
        past = self._past
        while len(past) > 1 and past[1][0] <= self._clock.now - REPORT_AGE_SECONDS:
            past.popleft()
        return past[0][1]

    def _start_slow(self) -> None:
        self._is_slow = True
        self._note()
        self._clock.at(self._clock.now + SLOW_SECONDS, self._end_slow)

    def _end_slow(self) -> None:
        self._is_slow = False
        self._note()
        mean = SLOW_SECONDS * (1.0 - SLOW_FRACTION) / SLOW_FRACTION
        self._clock.at(
            self._clock.now + self._rng.expovariate(1.0 / mean), self._start_slow
        )

    def _note(self) -> None:
        report = LoadReport(self.running, len(self._waiting), SLOTS, self.work_time)
        self._past.append((self._clock.now, report))
        while len(self._past) > 1 and self._past[1][0] <= self._clock.now - 1.0:
            self._past.popleft()

    def _fill_slots(self) -> None:
        while self._waiting and self.running < SLOTS:
            run = self._waiting.popleft()
            run.unread = max(1, run.prompt.tokens - self._use_cache(run.prompt))
            self._prompts.append(run)
        self._note()

    def _use_cache(self, prompt: PromptParts) -> int:
        cached, is_leading = 0, True
        for part, tokens in prompt.shared:
            is_leading = is_leading and part in self._cache
            cached += tokens * is_leading
            self._keep(part, tokens)
        self._keep(f"own{id(prompt)}", prompt.tokens - prompt.shared_tokens)
        return cached

    def _keep(self, part: str, tokens: int) -> None:
        self._cached_tokens += tokens - self._cache.pop(part, 0)
        self._cache[part] = tokens
        while self._cached_tokens > CACHE_TOKENS:
            self._cached_tokens -= self._cache.popitem(last=False)[1]

    def _step(self) -> None:
        seconds = STEP_SECONDS + STEP_SECONDS_FOR_EACH * self.running
        chunk = 0
        if self._prompts:
            chunk = min(CHUNK_TOKENS, self._prompts[0].unread)
            seconds += chunk / TOKENS_PER_SECOND
        seconds *= max(1.0, self.running / self.knee) ** 2
        end = self._clock.now + seconds * self.work_time
        self._clock.at(end, lambda: self._end_step(chunk, list(self._decoding)))

    def _end_step(self, chunk: int, decoding: list[Run]) -> None:
        for run in decoding:
            run.tokens += 1
            if run.tokens % TOKENS_PER_EVENT == 0:
                run.on_event(run.tokens // TOKENS_PER_EVENT)
                if run.tokens >= run.events * TOKENS_PER_EVENT:
                    self._decoding.remove(run)
        if chunk:
            run = self._prompts[0]
            run.unread -= chunk
            if run.unread <= 0:
                self._prompts.popleft()
                self._begin(run)
        self._fill_slots()
        self._is_stepping = bool(self._prompts or self._decoding)
        if self._is_stepping:
            self._step()

    def _begin(self, run: Run) -> None:
        """Send the first event a little after the prompt has been read."""
        run.tokens = TOKENS_PER_EVENT
        first = self._clock.now + FIRST_EVENT_SECONDS * self.work_time
        self._clock.at(first, lambda: run.on_event(1))
        if run.events > 1:
            self._decoding.append(run)
