"""A simulated day of hosts that share crash registers, without a network."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
import zlib
from collections.abc import Callable

from knapweeddrum.core.admission.crash_evidence import (
    CrashEvidence,
    Listing,
    ProbeResult,
)
from knapweeddrum.core.admission.crash_policy import CrashPolicy
from knapweeddrum.core.admission.crash_register import CrashRegister
from knapweeddrum.core.admission.placement import Placement
from knapweeddrum.core.admission.run_end import RunEnd

DAY_SECONDS = 34.0
POISON = "poison"
POPULAR = "popular"
POPULAR_SHARE = 0.3
SHARED_PART = "part:shared"
"""First part of each prompt."""
FATAL_PART = "part:fatal"
SOUND_PARTS = 40
"""Second parts of sound prompts, one of them in each."""
DETECTION_SECONDS = (0.25, 0.8)
"""Time from a crash until a host that lost connections has examined it."""
WRITE_INTERVAL_SECONDS = 1.0
CHECK_INTERVAL_SECONDS = 0.1
STORE_SECONDS = (0.01, 0.4)
"""Time from a write to the store until another host has read it."""
PEER_SECONDS = (0.2, 1.0)
"""Time in which hosts tell each other while the store is out."""
SILENCE_SECONDS = (0.7, 0.95)
"""Time from a crash until a host looks at an endpoint that went dark."""
PROBE_SECONDS = 0.5
"""Time of an unanswered probe, and until the next."""
DARK_SECONDS = (4.0, 6.0)
"""Time from a crash until an endpoint that went dark is back."""
LAPSE_SECONDS = (3.6, 5.0)
"""Time from a crash until the service list has dropped the endpoint's entry."""
LISTING_SECONDS = (0.1, 1.0)
"""Time from an endpoint's next start until hosts have read it in the service list."""
NEIGHBOUR_DATA_SECONDS = 0.2
"""Age of the newest data from another endpoint of the same data centre."""
MAX_ATTEMPTS = 2
CRASH_AFTER_SECONDS = 0.005


@dataclasses.dataclass(frozen=True, slots=True)
class CrashDayPlan:
    """What happens on a day; counts and rates are over all hosts."""

    hosts: int = 7
    endpoints: int = 9
    requests_per_second: float = 60.0
    copies: int = 60
    copies_at_once: int = 1
    prompts: int = 0
    """Requests with FATAL_PART in their prompts, no two alike."""
    single_crashes: int = 0
    rack_crashes: int = 0
    rack_size: int = 3
    reset_share: float = 0.0
    """Runs whose connection is reset by an endpoint that goes on."""
    store_outage: tuple[float, float] = (0.0, 0.0)
    host_restarts: int = 0
    is_dark: bool = False
    """Whether endpoints crash without a reset, a refusal or an answer to a probe."""
    cut_paths: int = 0
    """Times that a host's path to one endpoint is cut, while requests run there."""
    cut_seconds: tuple[float, float] = (1.0, 6.0)


@dataclasses.dataclass(slots=True)
class _Run:
    run_id: str
    fingerprint: str
    host: int
    endpoint: int
    attempts: int
    earlier_crashes: int
    lost: int
    is_open: bool = True


class CrashDay:
    """Plays one day; ``crash_times`` has the crashes that the poison caused."""

    def __init__(self, plan: CrashDayPlan, policy: CrashPolicy, seed: int) -> None:
        self.crash_times: list[float] = []
        self.part_arrivals: list[float] = []
        """Times at which requests with FATAL_PART reached an endpoint."""
        self.refused_for_parts = 0
        """Sound requests that were refused for a part."""
        self.falsely_blamed: set[str] = set()
        self.answered = 0
        self.suspected = 0
        """Other requests that were refused under suspicion."""
        self.without_endpoint = 0
        self.failed = 0
        self._plan = plan
        self._policy = policy
        self._rng = random.Random(seed)
        self._registers = [CrashRegister(policy) for _ in range(plan.hosts)]
        self._store = CrashRegister(policy)
        self._told = [0] * plan.hosts
        self._starts = [0] * plan.endpoints
        self._up = [True] * plan.endpoints
        self._runs: dict[str, _Run] = {}
        self._ids = itertools.count()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []

    def play(self) -> None:
        """Play the whole day."""
        self._schedule_day()
        while self._events:
            now, _, event = heapq.heappop(self._events)
            if now > DAY_SECONDS:
                return
            event(now)

    def late_part_arrivals(self, window: float, counted: int = 5) -> int:
        """Return such arrivals later than a time after the fifth crash."""
        if len(self.crash_times) < counted:
            return 0
        latest = self.crash_times[counted - 1] + window
        return sum(1 for at in self.part_arrivals if at > latest)

    def late_crashes(self, window: float) -> int:
        """Return the crashes later than ``window`` seconds after the third."""
        if len(self.crash_times) < 3:
            return 0
        latest = self.crash_times[2] + window
        return sum(1 for crashed_at in self.crash_times if crashed_at > latest)

    def _at(self, when: float, event: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (when, next(self._ids), event))

    def _schedule_day(self) -> None:
        plan, rng = self._plan, self._rng
        for number in range(int(plan.requests_per_second * DAY_SECONDS)):
            name = POPULAR if rng.random() < POPULAR_SHARE else f"request {number}"
            self._at(rng.uniform(0, DAY_SECONDS), self._caller(name, rng))
        for _ in range(plan.copies // plan.copies_at_once):
            sent_at = rng.uniform(2, DAY_SECONDS)
            for _ in range(plan.copies_at_once):
                self._at(sent_at, self._caller(POISON, rng))
        for number in range(plan.prompts):
            sent_at = rng.uniform(2, DAY_SECONDS)
            self._at(sent_at, self._caller(f"{FATAL_PART} {number}", rng))
        for _ in range(plan.single_crashes):
            victim = [rng.randrange(plan.endpoints)]
            self._at(rng.uniform(1, DAY_SECONDS), self._crash_event(victim))
        rack = list(range(min(plan.rack_size, plan.endpoints - 1)))
        for _ in range(plan.rack_crashes):
            self._at(rng.uniform(1, DAY_SECONDS), self._crash_event(rack))
        for _ in range(plan.cut_paths):
            self._at(rng.uniform(1, DAY_SECONDS), self._cut_path)
        for _ in range(plan.host_restarts):
            self._at(rng.uniform(1, DAY_SECONDS), self._restart)
        for host in range(plan.hosts):
            self._at(rng.uniform(0, CHECK_INTERVAL_SECONDS), self._writer(host))

    def _caller(self, name: str, rng: random.Random) -> Callable[[float], None]:
        host = rng.randrange(self._plan.hosts)
        return lambda now: self._send(now, name, host, 1, None, 0)

    def _crash_event(self, endpoints: list[int]) -> Callable[[float], None]:
        def crash(now: float) -> None:
            for endpoint in endpoints:
                self._crash(now, endpoint)

        return crash

    def _send(
        self,
        now: float,
        name: str,
        host: int,
        attempt: int,
        earlier: int | None,
        lost: int,
    ) -> None:
        register = self._registers[host]
        if earlier is None:
            earlier = register.most_crashes((name, *self._parts(name)), now)
        parts = self._parts(name)
        if register.blamed_part(parts, now) is not None:
            self.refused_for_parts += FATAL_PART not in parts
            return
        decision = register.decide(name, now)
        if not isinstance(decision, Placement):
            self.suspected += name != POISON
            if decision.retry_after is None and name != POISON:
                self.falsely_blamed.add(name)
            return
        avoided = register.avoided_endpoints(now)
        up = [number for number, is_up in enumerate(self._up) if is_up]
        apart = [number for number in up if self._name(number) not in avoided]
        choices = apart if apart or decision.suspect else up
        if not choices:
            self.without_endpoint += name != POISON
            return
        endpoint = self._rng.choice(choices)
        run = _Run(str(next(self._ids)), name, host, endpoint, attempt, earlier, lost)
        self._runs[run.run_id] = run
        register.begin(run.run_id, name, self._name(endpoint), parts)
        if FATAL_PART in parts:
            self.part_arrivals.append(now)
        if name == POISON or FATAL_PART in parts:
            self._at(now + CRASH_AFTER_SECONDS, lambda at: self._poison(at, run))
        elif self._rng.random() < self._plan.reset_share:
            self._at(now + 0.01, lambda at: self._reset(at, run))
        else:
            duration = self._rng.choice((0.05, 0.2, 2.0))
            self._at(now + duration, lambda at: self._complete(at, run))

    def _parts(self, name: str) -> tuple[str, ...]:
        """Return the parts of a request's prompt; the crashing request has none."""
        if not self._plan.prompts or name == POISON:
            return ()
        if name.startswith(FATAL_PART):
            return (SHARED_PART, FATAL_PART)
        return (SHARED_PART, f"part:{zlib.crc32(name.encode()) % SOUND_PARTS}")

    def _poison(self, now: float, run: _Run) -> None:
        if run.is_open:
            self.crash_times.append(now)
            self._crash(now, run.endpoint)

    def _complete(self, now: float, run: _Run) -> None:
        if run.is_open:
            self.answered += 1
            self._end(now, run, RunEnd.COMPLETED)

    def _reset(self, now: float, run: _Run) -> None:
        if not run.is_open:
            return
        name = self._name(run.endpoint)
        register = self._registers[run.host]
        self._end(now, run, RunEnd.CUT)
        self._at(now + 0.25, lambda at: register.forget_cuts(name))
        self._retry(now, run)

    def _end(self, now: float, run: _Run, run_end: RunEnd) -> None:
        run.is_open = False
        del self._runs[run.run_id]
        self._registers[run.host].end(run.run_id, run_end, now)

    def _retry(self, now: float, run: _Run) -> None:
        lost = run.lost + 1
        if run.attempts >= MAX_ATTEMPTS or run.earlier_crashes + lost > 1:
            self.failed += run.fingerprint != POISON
            return
        self._at(
            now + 0.01,
            lambda at: self._send(
                at,
                run.fingerprint,
                run.host,
                run.attempts + 1,
                run.earlier_crashes,
                lost,
            ),
        )

    def _crash(self, now: float, endpoint: int) -> None:
        if not self._up[endpoint]:
            return
        name = self._name(endpoint)
        self._up[endpoint] = False
        cut = [run for run in self._runs.values() if run.endpoint == endpoint]
        hosts = sorted({run.host for run in cut})
        if self._plan.is_dark:
            for run in cut:
                run.is_open = False
            back_at = now + self._rng.uniform(*DARK_SECONDS)
            self._at(back_at, lambda _: self._come_back(endpoint))
            self._examine_dark(now, name, hosts, back_at)
            return
        for run in cut:
            self._end(now, run, RunEnd.CUT)
            self._retry(now, run)
        for host in hosts:
            found_at = now + self._rng.uniform(*DETECTION_SECONDS)
            self._at(found_at, self._detection(host, name))
        back_at = now + self._rng.uniform(0.5, 3.0)
        self._at(back_at, lambda _: self._come_back(endpoint))

    def _examine_dark(
        self, now: float, name: str, hosts: list[int], back_at: float
    ) -> None:
        """Let hosts probe an endpoint that answers nobody until it is back."""
        lapses_at = now + self._rng.uniform(*LAPSE_SECONDS)
        listed_at = back_at + self._rng.uniform(*LISTING_SECONDS)

        def listing(at: float) -> Listing:
            if at >= listed_at:
                return Listing.REPLACED
            return Listing.GONE if at >= lapses_at else Listing.LISTED

        for host in hosts:
            found_at = self._time_of_sign(now, listing, back_at)
            if found_at is not None:
                self._at(found_at, self._detection(host, name))

    def _time_of_sign(
        self, lost_at: float, listing: Callable[[float], Listing], answers_at: float
    ) -> float | None:
        """Return when a host that probes an endpoint takes it for crashed."""
        at = lost_at + self._rng.uniform(*SILENCE_SECONDS)
        evidence = CrashEvidence(at)
        while not evidence.is_expired(at):
            probe = None
            if evidence.needs_probe(listing(at), at):
                is_back = at >= answers_at
                probe = ProbeResult.CONNECTED if is_back else ProbeResult.UNANSWERED
            sign = evidence.judge(listing(at), probe, at, at - NEIGHBOUR_DATA_SECONDS)
            if sign is not None:
                return at
            at += PROBE_SECONDS
        return None

    def _cut_path(self, now: float) -> None:
        """Cut one host's path to one endpoint, which goes on for all others."""
        host = self._rng.randrange(self._plan.hosts)
        endpoint = self._rng.randrange(self._plan.endpoints)
        name = self._name(endpoint)
        runs = [
            run
            for run in self._runs.values()
            if run.endpoint == endpoint and run.host == host
        ]
        if not runs:
            return
        for run in runs:
            run.is_open = False
        answers_at = now + self._rng.uniform(*self._plan.cut_seconds)
        found_at = self._time_of_sign(now, lambda _: Listing.LISTED, answers_at)
        if found_at is not None:
            self._at(found_at, self._detection(host, name))

    def _detection(self, host: int, name: str) -> Callable[[float], None]:
        return lambda now: self._registers[host].record_crash(name, now) and None

    def _come_back(self, endpoint: int) -> None:
        self._starts[endpoint] += 1
        self._up[endpoint] = True

    def _name(self, endpoint: int) -> str:
        return f"{endpoint}/{self._starts[endpoint]}"

    def _writer(self, host: int) -> Callable[[float], None]:
        def write(now: float) -> None:
            batch = self._registers[host].changes(self._told[host])
            if not batch.records:
                self._at(now + CHECK_INTERVAL_SECONDS, write)
                return
            self._told[host] = batch.version
            start, end = self._plan.store_outage
            is_out = start <= now < end
            self._store.merge(batch.records)
            for other in range(self._plan.hosts):
                delay = self._rng.uniform(*(PEER_SECONDS if is_out else STORE_SECONDS))
                self._at(now + delay, self._reading(other, batch.records))
            self._at(now + WRITE_INTERVAL_SECONDS, write)

        return write

    def _reading(self, host: int, records: tuple) -> Callable[[float], None]:
        return lambda now: self._registers[host].merge(records, now)

    def _restart(self, now: float) -> None:
        host = self._rng.randrange(self._plan.hosts)
        for run in [run for run in self._runs.values() if run.host == host]:
            run.is_open = False
            del self._runs[run.run_id]
        self._registers[host] = CrashRegister(self._policy)
        self._told[host] = 0
        after = 0
        while (batch := self._store.changes(after)).records:
            self._registers[host].merge(batch.records, now)
            after = batch.version
