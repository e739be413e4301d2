"""A host behind a slow link, and its callers, in simulated time."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable

from knapweeddrum.core.load.link_load import WIRE_BYTES_PER_BYTE, LinkLoad
from knapweeddrum.value.link_source import LinkSource

LOOK_SECONDS = 0.01
RETRY_SECONDS = (0.02, 0.2)
"""Time after which a caller who was reset comes back, once."""
ENDPOINT_SECONDS = (0.04, 0.25)
SYN_BYTES = 60
STORE_SECONDS, STORE_BYTES = 0.25, 4_000
MAX_WAIT_SECONDS = 2.0
"""Time after which a caller has given up."""
READ_SECONDS = 1.0
"""Time after which a caller whose request was not read closes and comes back."""
THINK_SECONDS = 0.4
"""Longest time from an answer to the next request of the same caller."""


@dataclasses.dataclass(slots=True)
class Call:
    """A request and when its caller got the whole answer."""

    organisation: str
    kind: str
    target: float
    body: int
    answer: int
    sent_at: float
    tries: int = 0
    answered_at: float = float("inf")
    on_answer: Callable[[float], None] = lambda _: None

    @property
    def outcome(self) -> str:
        took = self.answered_at - self.sent_at
        if took > MAX_WAIT_SECONDS:
            return "none"
        return "in target" if took <= self.target else "late"


KINDS = (
    # kind, target in seconds, share, body and answer in bytes
    ("long", 1.0, 0.25, (4_000, 11_000), (2_000, 6_000)),
    ("medium", 0.5, 0.35, (2_000, 5_000), (1_000, 3_000)),
    ("chat", 0.4, 0.15, (700, 2_000), (2_000, 6_000)),
    ("short", 0.3, 0.25, (700, 2_000), (500, 1_500)),
)


class SimulatedLink:
    """Plays calls to one host; what comes in passes one queue, first in first out."""

    def __init__(self, load: LinkLoad | None, link_mbps: float, seed: int) -> None:
        self.calls: list[Call] = []
        self.closed_for: list[float] = []
        """Lengths of the times in which no connection was taken."""
        self.store_seconds: list[float] = []
        """Times that the answers of the store took to come in."""
        self.carried = 0.0
        self.turned_away = 0
        self._load = load
        self._rate = link_mbps * 125_000
        self._free_at = 0.0
        self._now = 0.0
        self._is_look_due = False
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._numbers = itertools.count()
        self._closed_at: float | None = None

    def play(self, per_second: Callable[[float], float], seconds: float) -> None:
        """Play ``per_second`` requests of two organisations for some time."""
        self._at(0.0, lambda now: self._read_store(now, seconds))
        if self._load is not None:
            self._load.on_due = lambda: self._look_at(self._now)
        now = 0.0
        while (now := now + self._rng.expovariate(per_second(now))) < seconds:
            call = self._new_call(now)
            self.calls.append(call)
            self._at(now, lambda now, call=call: self._connect(call, now))
        while self._events:
            self._now, _, event = heapq.heappop(self._events)
            event(self._now)

    def play_loyal(self, callers: int, seconds: float) -> None:
        """Play callers who use no other host, each with one request at a time.

        One whose request was not read in READ_SECONDS closes and begins another, so
        that the link carries what nobody receives. A kept connection is not turned away
        unless its last answer says that it ends.
        """
        self._at(0.0, lambda now: self._read_store(now, seconds))
        if self._load is not None:
            self._load.on_due = lambda: self._look_at(self._now)
        for _ in range(callers):
            begins_at = self._rng.uniform(0.0, THINK_SECONDS)
            self._at(begins_at, lambda now: self._open(now, seconds))
        while self._events:
            self._now, _, event = heapq.heappop(self._events)
            event(self._now)

    def _open(self, now: float, until: float) -> None:
        """Connect, within READ_SECONDS, and send a request."""
        if now >= until:
            return
        if self._wait(SYN_BYTES, now) > READ_SECONDS:
            self._carry(SYN_BYTES, now)
            self._at(now + READ_SECONDS, lambda now: self._open(now, until))
            return

        def connected(now: float) -> None:
            if self._load is not None and self._load.is_closed:
                self.turned_away += 1
                again_at = now + self._rng.uniform(*RETRY_SECONDS)
                self._at(again_at, lambda now: self._open(now, until))
                return
            if self._load is not None:
                self._load.accept()
            self._ask(now, until)

        self._bring_in(SYN_BYTES, now, connected)

    def _ask(self, now: float, until: float) -> None:
        """Send a request on an open connection."""
        if now >= until:
            return
        call = self._new_call(now)
        self.calls.append(call)
        if self._wait(call.body, now) > READ_SECONDS:
            self._carry(call.body, now)
            self._at(now + READ_SECONDS, lambda now: self._open(now, until))
            return

        def answered(now: float) -> None:
            ends = self._load is not None and self._load.is_late(now)
            then = self._open if ends else self._ask
            again_at = now + self._rng.uniform(0.0, THINK_SECONDS)
            self._at(again_at, lambda now: then(now, until))

        call.on_answer = answered
        self._bring_in(call.body, now, lambda now: self._send_on(call, now))

    def count(self, outcome: str) -> int:
        return sum(call.outcome == outcome for call in self.calls)

    def _new_call(self, now: float) -> Call:
        weights = [share for _, _, share, _, _ in KINDS]
        kind, target, _, body, answer = self._rng.choices(KINDS, weights)[0]
        organisation = self._rng.choices(("a", "b"), (2, 1))[0]
        return Call(
            organisation,
            kind,
            target,
            self._rng.randint(*body),
            self._rng.randint(*answer),
            now,
        )

    def _connect(self, call: Call, now: float) -> None:
        """Connect; what the caller sends first waits in the queue like the rest."""
        call.tries += 1
        self._bring_in(SYN_BYTES, now, lambda now: self._accept(call, now))

    def _accept(self, call: Call, now: float) -> None:
        if self._load is not None and self._load.is_closed:
            self.turned_away += 1
            if call.tries == 1:
                again_at = now + self._rng.uniform(*RETRY_SECONDS)
                self._at(again_at, lambda now: self._connect(call, now))
            return
        if self._load is not None:
            self._load.accept()
        self._bring_in(call.body, now, lambda now: self._send_on(call, now))

    def _send_on(self, call: Call, now: float) -> None:
        """Run the request; the connection to the endpoint waits in the queue too."""
        ran_at = now + self._rng.uniform(*ENDPOINT_SECONDS)

        def answer(now: float) -> None:
            def answered(now: float) -> None:
                call.answered_at = now
                call.on_answer(now)

            self._bring_in(call.answer, now, answered)

        def connected(asked_at: float, now: float) -> None:
            self._record_trip(LinkSource.ENDPOINTS, now - asked_at, now)
            self._at(max(now, ran_at), answer)

        self._bring_in(SYN_BYTES, now, lambda then: connected(now, then))

    def _read_store(self, now: float, until: float) -> None:
        if now >= until:
            return

        def answered(asked_at: float, now: float) -> None:
            self.store_seconds.append(now - asked_at)
            self._record_trip(LinkSource.STORE, now - asked_at, now)
            self._at(now + STORE_SECONDS, lambda now: self._read_store(now, until))

        self._bring_in(STORE_BYTES, now, lambda then: answered(now, then))

    def _record_trip(self, source: LinkSource, seconds: float, now: float) -> None:
        if self._load is not None:
            self._load.record_trip(source, seconds, now, is_answered=True)

    def _wait(self, count: int, now: float) -> float:
        """Return the seconds until bytes that are sent now have come in."""
        sent_at = max(now, self._free_at)
        return sent_at + count * WIRE_BYTES_PER_BYTE / self._rate - now

    def _carry(self, count: int, now: float) -> None:
        self._free_at = now + self._wait(count, now)
        self.carried += count * WIRE_BYTES_PER_BYTE

    def _bring_in(self, count: int, now: float, then: Callable[[float], None]) -> None:
        """Carry bytes over the link; ``then`` runs when they were received."""
        self._carry(count, now)

        def received(now: float) -> None:
            if self._load is not None:
                self._load.receive(count)
            then(now)

        self._at(self._free_at, received)

    def _look_at(self, time: float) -> None:
        if not self._is_look_due:
            self._is_look_due = True
            self._at(time, self._look)

    def _look(self, now: float) -> None:
        """Look when it is due, and often while the listener is closed, as LinkWatch."""
        load = self._load
        assert load is not None
        self._is_look_due = False
        load.update(now)
        if load.is_closed and self._closed_at is None:
            self._closed_at = now
        elif not load.is_closed and self._closed_at is not None:
            self.closed_for.append(now - self._closed_at)
            self._closed_at = None
        if load.is_closed:
            self._look_at(now + LOOK_SECONDS)

    def _at(self, time: float, event: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (time, next(self._numbers), event))
