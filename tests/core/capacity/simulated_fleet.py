"""Hosts that place a mix of requests at simulated engines."""

from __future__ import annotations

import collections
import dataclasses
import itertools
import random

from knapweeddrum.core.capacity.prompt_parts import PromptParts
from knapweeddrum.core.catalog.endpoint_entry import EndpointEntry
from knapweeddrum.core.placing.endpoint_state import EndpointState
from knapweeddrum.core.placing.placement_request import PlacementRequest
from knapweeddrum.core.placing.placer import Placer
from knapweeddrum.core.routing.attempt_result import AttemptResult
from tests.core.capacity.simulated_engine import (
    TOKENS_PER_EVENT,
    Clock,
    Run,
    SimulatedEngine,
)

PATH_SECONDS = 0.003
"""Time from a host to an engine, and back."""

ORGANISATIONS = 5


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request of the mix."""

    name: str
    rate: float
    common: int
    session: int
    own: int
    events: int
    target: float
    pause: float = 1.0


MIX = (
    Kind("long", 46.0, 2_520, 3_780, 2_890, 10, 0.515),
    Kind("medium", 48.0, 341, 227, 1_800, 5, 0.408),
    Kind("chat", 24.0, 103, 69, 543, 56, 0.306, 0.25),
)
COMMON_PARTS = 4
SESSIONS = 160


class WeightedPlacer:
    """Baseline: a random endpoint, with fixed weights by usual speed."""

    def __init__(self, engines: list[SimulatedEngine], rng: random.Random) -> None:
        self._weights = [1.0 / engine.base for engine in engines]
        self._rng = rng

    def choose(self, states, req, now):
        del req, now
        return self._rng.choices(states, self._weights)[0]


class Host:
    def __init__(self, placer, endpoints: int) -> None:
        self.placer = placer
        self.states = [
            EndpointState(EndpointEntry(f"e{n}", "engine", "10.0.0.1:1", "a", 64))
            for n in range(endpoints)
        ]


class SimulatedFleet:
    """Plays a mix; ``policy`` is "start", "rendezvous" or "weights"."""

    def __init__(
        self,
        policy: str,
        *,
        hosts: int = 6,
        endpoints: int = 50,
        seed: int = 0,
        hot_session: float = 0.0,
        load: float = 1.0,
    ) -> None:
        self.clock = Clock()
        self._policy = policy
        self._load = load
        self._hot_session = hot_session
        self._rng = random.Random(seed)
        self.engines = [
            SimulatedEngine(
                self.clock, random.Random(f"{seed}/{n}"), 1.3 if n % 3 == 0 else 1.0
            )
            for n in range(endpoints)
        ]
        self.hosts = [Host(self._placer(n), endpoints) for n in range(hosts)]
        self.results: collections.Counter[tuple[str, int, bool]] = collections.Counter()
        """Requests by kind, organisation and whether they were in target."""
        self.starts: collections.Counter[int] = collections.Counter()
        """Requests by engine."""
        self._numbers = itertools.count()

    def _placer(self, number: int):
        rng = random.Random(f"placer/{number}")
        if self._policy == "weights":
            return WeightedPlacer(self.engines, rng)
        return Placer(rng, lambda: 1.0 / len(self.hosts))

    def play(self, seconds: float, load: float | None = None) -> None:
        """Let requests come for a while, in waves and clumps."""
        if load is not None:
            self._load = load
        end = self.clock.now + seconds
        for kind in MIX:
            at = self.clock.now
            while True:
                at += self._rng.expovariate(kind.rate * self._load / 2)
                if at >= end:
                    break
                for _ in range(self._rng.randint(1, 3)):
                    self.clock.at(
                        at + self._rng.uniform(0, 0.03),
                        lambda kind=kind: self._send(kind),
                    )
        self.clock.run(end)
        self.clock.now = end

    def _send(self, kind: Kind) -> None:
        rng = self._rng
        session = rng.randrange(SESSIONS)
        if kind.name == "long" and rng.random() < self._hot_session:
            session = 0
        session_id = f"{kind.name}/{session}"
        prompt = PromptParts(
            kind.common + kind.session + kind.own,
            (
                (f"{kind.name}-common/{session % COMMON_PARTS}", kind.common),
                (session_id, kind.session),
            ),
            kind.events * TOKENS_PER_EVENT,
        )
        host = rng.choice(self.hosts)
        req = PlacementRequest(
            session=session_id,
            prompt=prompt,
            target_latency=kind.target,
        )
        now = self.clock.now
        state = host.placer.choose(host.states, req, now)
        number = host.states.index(state)
        engine = self.engines[number]
        self.starts[number] += 1
        attempt = str(next(self._numbers))
        state.start_attempt(attempt, prompt.tokens, now, prompt)
        last = [now]
        worst = [0.0, 0.0]

        def receive(event: int) -> None:
            now = self.clock.now + PATH_SECONDS
            worst[event > 1] = max(worst[event > 1], now - last[0])
            last[0] = now
            if event == 1:
                report = engine.report()
                if self._policy != "start":
                    report = dataclasses.replace(report, work_time=None)
                state.record_load(report, now)
                state.record_answer_start(attempt, prompt.tokens, now)
            if event == kind.events:
                state.end_attempt(
                    attempt, prompt.tokens, AttemptResult.SUCCESS, last[0], now
                )
                in_target = worst[0] <= kind.target and worst[1] <= kind.pause
                self.results[kind.name, session % ORGANISATIONS, in_target] += 1

        run = Run(prompt, kind.events, receive)
        self.clock.at(now + PATH_SECONDS, lambda: engine.submit(run))

    def in_target(self, kind: str | None = None, organisation: int | None = None):
        """Return the part of the finished requests that were in target."""
        counts = [0, 0]
        for (name, of, in_target), count in self.results.items():
            if kind in (None, name) and organisation in (None, of):
                counts[in_target] += count
        return counts[1] / max(1, sum(counts))
