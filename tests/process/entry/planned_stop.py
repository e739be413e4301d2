"""Plays a planned stop of one host under callers that go on sending to it."""

from __future__ import annotations

import contextlib
import dataclasses
import random
import signal

import anyio
import anyio.abc

from tests.process.entry.entry_harness import (
    HOST_NAME,
    KEY,
    EntryHarness,
    configuration,
    entry_harness,
)
from tests.process.entry.kept_connection import KeptConnection, request_bytes
from tests.standins.platform_store import PlatformStore
from tests.standins.stamped_server import StampedServer

GRACE_SECONDS = 6.0
"""Grace period of the harness's hosts."""
WARM_UP_SECONDS = 1.5
SENDING_SECONDS = 6.0
"""Time after the first signal for which callers keep what the directory said."""
ROUTE_TIMEOUT_SECONDS = 3.0
TIMEOUT_MARGIN_SECONDS = 0.15
MAX_EVENTS = 28
EVENT_GAP_SECONDS = 0.1
RECONNECT_SECONDS = 0.02
PREPAID_TOKENS = 10_000_000
LOSS_SLACK_SECONDS = 0.2
"""Time after the last byte of a request within which its connection may end."""
THROTTLED_SECONDS = 0.05
"""Time for which a host with half a core stands still and then runs, in turns."""


@dataclasses.dataclass(frozen=True, slots=True)
class SentSignal:
    """A signal, and its time in seconds after the first one."""

    after: float
    number: signal.Signals


@dataclasses.dataclass(frozen=True, slots=True)
class StopPlan:
    """Signals to the host, and what else happens."""

    signals: tuple[SentSignal, ...]
    callers: int = 24
    store_refuses: bool = False
    """Whether the store answers 503 from the first signal on."""
    store_is_silent: bool = False
    """Whether it gives no answer from then on."""
    frozen_for: float = 0.0
    """Seconds for which the host is suspended at the first signal."""
    reading_pause: float = 0.0
    """Seconds that each caller waits between a request and reading its answer."""
    half_core: bool = False
    """Whether the host stands still for half of the time."""

    @classmethod
    def draw(cls, rng: random.Random) -> StopPlan:
        """Return a plan with signals in series and one more disturbance or none."""
        first = SentSignal(0.0, signal.SIGTERM)
        further = [
            SentSignal(rng.uniform(0.0, 3.0), number)
            for number in rng.choices(
                (signal.SIGTERM, signal.SIGHUP), k=rng.randint(1, 4)
            )
        ]
        plan = cls((first, *sorted(further, key=lambda sent: sent.after)))
        change = rng.choice(({}, *DISTURBANCES))
        return dataclasses.replace(plan, **change)


DISTURBANCES: tuple[dict[str, object], ...] = (
    {"store_refuses": True},
    {"store_is_silent": True},
    {"frozen_for": 0.6},
    {"reading_pause": 0.2},
    {"callers": 60},
)


class VariedEngine(StampedServer):
    """Streams of 1 to MAX_EVENTS events, at random."""

    def __init__(self, server_id: str, rng: random.Random) -> None:
        self._rng = rng
        super().__init__(server_id, events=MAX_EVENTS)
        self.event_gap = EVENT_GAP_SECONDS

    @property
    def events(self) -> int:
        """Return the number of events of the next stream."""
        return self._rng.randint(1, MAX_EVENTS)

    @events.setter
    def events(self, _most: int) -> None:
        return


class PlannedStop:
    """Counts what an endpoint ran and no caller got whole."""

    def __init__(self, plan: StopPlan, seed: int) -> None:
        self._plan = plan
        self._rng = random.Random(seed)
        self._number = 0
        self._stop_at = float("inf")
        self._engine = VariedEngine("engine-1", random.Random(seed + 1))
        self._stock = StampedServer("stock-1", body=b"booked")
        self._unanswered: set[str] = set()
        self.ended_late: list[str] = []
        """Requests that ended without any answer when they had been sent for long."""
        self.whole = 0
        """Answers that were whole after the first signal."""
        self.exit_code: int | None = None
        self.is_killed = False
        """Whether the host had not ended by itself when the grace period was over."""

    async def play(self) -> list[str]:
        """Play; return the requests that were run and got no whole answer."""
        store = PlatformStore()
        tenants = [{"name": "mill", "apiKeys": [KEY], "prepaid": PREPAID_TOKENS}]
        async with (
            entry_harness(
                engines=(self._engine,),
                services=(self._stock,),
                store=store,
                document=configuration(tenants=tenants),
            ) as harness,
            anyio.create_task_group() as tasks,
        ):
            if self._plan.half_core:
                tasks.start_soon(_throttle, harness)
            for _ in range(self._plan.callers):
                tasks.start_soon(self._call, harness)
            await anyio.sleep(WARM_UP_SECONDS)
            await self._stop(harness, store)
            self._stop_at = 0.0
        servers = (self._engine, self._stock)
        ran = {run.text(b"attempt-id") for server in servers for run in server.runs}
        return sorted(ran & self._unanswered)

    async def _stop(self, harness: EntryHarness, store: PlatformStore) -> None:
        begun_at = anyio.current_time()
        self._stop_at = begun_at + SENDING_SECONDS
        store.busy = self._plan.store_refuses
        store.unresponsive = self._plan.store_is_silent
        async with anyio.create_task_group() as tasks:
            if self._plan.frozen_for:
                tasks.start_soon(self._freeze, harness)
            for sent in self._plan.signals:
                await anyio.sleep_until(begun_at + sent.after)
                with contextlib.suppress(ProcessLookupError):
                    harness.send_signal(sent.number)
        with anyio.move_on_at(begun_at + GRACE_SECONDS) as scope:
            self.exit_code = await harness.process.wait()
        self.is_killed = scope.cancelled_caught
        if self.is_killed:
            harness.process.kill()

    async def _freeze(self, harness: EntryHarness) -> None:
        harness.send_signal(signal.SIGSTOP)
        await anyio.sleep(self._plan.frozen_for)
        harness.send_signal(signal.SIGCONT)

    async def _call(self, harness: EntryHarness) -> None:
        """Send one request after the other until told to stop."""
        while anyio.current_time() < self._stop_at:
            try:
                conn = await KeptConnection.connect(harness.caller_address)
            except OSError:
                await anyio.sleep(RECONNECT_SECONDS)
                continue
            with contextlib.suppress(anyio.BrokenResourceError):
                while await self._exchange(conn):
                    pass
            await conn.close()

    async def _exchange(self, conn: KeptConnection) -> bool:
        """Send one request; return whether the connection can be used again."""
        if anyio.current_time() >= self._stop_at:
            return False
        self._number += 1
        attempt = f"a{self._number}"
        path = self._rng.choice(("/draft/1", "/draft/1", "/book/1"))
        sent_at = anyio.current_time()
        self._unanswered.add(attempt)
        await conn.send(request_bytes(path, attempt, HOST_NAME, KEY))
        await anyio.sleep(self._plan.reading_pause)
        answer = await conn.answer()
        lasted = anyio.current_time() - sent_at
        if lasted > ROUTE_TIMEOUT_SECONDS - TIMEOUT_MARGIN_SECONDS:
            self._unanswered.discard(attempt)
        if answer is None and conn.has_ended and lasted > LOSS_SLACK_SECONDS:
            self.ended_late.append(attempt)
        if answer is None or not answer.is_complete:
            return False
        self._unanswered.discard(attempt)
        self.whole += self._stop_at < float("inf")
        return not answer.says_close


async def _throttle(harness: EntryHarness) -> None:
    """Let the host run for half of the time, until it has ended."""
    while harness.process.returncode is None:
        for number in (signal.SIGSTOP, signal.SIGCONT):
            with contextlib.suppress(ProcessLookupError):
                harness.send_signal(number)
            await anyio.sleep(THROTTLED_SECONDS)
