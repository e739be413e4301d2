"""A seeded run of hosts whose paths are cut while hosts end and are replaced."""

from __future__ import annotations

import contextlib
import dataclasses
import itertools
import random
import signal
import time

import anyio
import anyio.abc

from knapweeddrum.http.client_connection import ClientConnection
from knapweeddrum.http.exceptions import ExchangeError
from tests.process.entry.cut_fleet import CutFleet, CutHost, cut_fleet
from tests.process.entry.entry_harness import HOST_NAME
from tests.standins.network_link import Cut
from tests.standins.stamped_server import StampedServer

HOST_COUNT = 5
EVENTS = 8
EVENT_GAP_SECONDS = 0.05
TROUBLE_SECONDS = 12.0
SETTLE_SECONDS = 4.0
"""Time after the last cut has healed from which on all requests are served."""

CALM_SECONDS = 1.0
MAX_PAUSE_SECONDS = 1.0
MAX_ENDED_HOSTS = 2
CALL_INTERVAL_SECONDS = 0.1
CALL_SECONDS = 6.0
PATHS = ("/query/1", "/draft/1", "/read/1", "/book/1")
GOOD_EXITS = frozenset({None, 0, -signal.SIGKILL})
NOT_RUN_STATUSES = frozenset({429, 503})


@dataclasses.dataclass(slots=True)
class Sent:
    """A request of a caller and what came of it; status 0 is no answer."""

    path: str
    attempt: str
    status: int = 0
    is_complete: bool = False
    body: bytes = b""


@dataclasses.dataclass(slots=True)
class SoakReport:
    """What a run showed."""

    wrong: list[str] = dataclasses.field(default_factory=list)
    """Each broken promise, in words."""
    sent: int = 0
    served: int = 0


class CutSoak:
    """Plays one seed."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._engines = [StampedServer(f"engine-{n}", events=EVENTS) for n in range(2)]
        self._stocks = [StampedServer(f"stock-{n}", body=b"done") for n in range(3)]
        for server in self._engines:
            server.event_gap = EVENT_GAP_SECONDS
        self._numbers = itertools.count()
        self._sent: list[Sent] = []
        self._ended: list[CutHost] = []
        self._frozen: list[CutHost] = []
        self._report = SoakReport()

    async def play(self) -> SoakReport:
        """Run hosts, cause trouble, let all heal, and judge what callers got."""
        async with cut_fleet(
            HOST_COUNT, engines=self._engines, services=self._stocks
        ) as fleet:
            async with anyio.create_task_group() as callers:
                for host in fleet.hosts:
                    callers.start_soon(self._call_often, host, callers)
                    callers.start_soon(self._call_on_kept_connections, host)
                await self._cause_trouble(fleet)
                await anyio.sleep(SETTLE_SECONDS)
                callers.cancel_scope.cancel()
            self._judge_promises(fleet)
            await self._judge_calm(fleet)
        self._report.sent = len(self._sent)
        self._report.served = sum(sent.status == 200 for sent in self._sent)
        return self._report

    def _running(self, fleet: CutFleet) -> list[CutHost]:
        return [host for host in fleet.hosts if host not in self._ended]

    def _cuttable(self, fleet: CutFleet) -> list[CutHost]:
        """Return the hosts that may get into trouble; the first never does.

        If no host reached an endpoint, it would rightly count as gone.
        """
        return [host for host in self._running(fleet) if host is not fleet.hosts[0]]

    async def _cause_trouble(self, fleet: CutFleet) -> None:
        ends_at = time.monotonic() + TROUBLE_SECONDS
        while time.monotonic() < ends_at:
            actions = (self._cut, self._cut, self._restore, self._end, self._freeze)
            self._rng.choice(actions)(fleet)
            await anyio.sleep(self._rng.uniform(0.0, MAX_PAUSE_SECONDS))
        for host in fleet.hosts:
            host.restore()
        self._thaw()

    def _cut(self, fleet: CutFleet) -> None:
        hosts = self._cuttable(fleet)
        how = self._rng.choice(list(Cut))
        services = self._rng.choice(((), (), ("engine",), ("stock",)))
        for host in self._rng.sample(hosts, self._rng.randint(1, len(hosts))):
            host.cut(how, *services)

    def _restore(self, fleet: CutFleet) -> None:
        for host in fleet.hosts:
            if self._rng.random() < 0.6:
                host.restore()
        self._thaw()

    def _freeze(self, fleet: CutFleet) -> None:
        """Stop a host from running, until links are restored."""
        host = self._rng.choice(self._cuttable(fleet))
        self._frozen.append(host)
        host.process.send_signal(signal.SIGSTOP)

    def _thaw(self) -> None:
        for host in self._frozen:
            with contextlib.suppress(ProcessLookupError):
                host.process.send_signal(signal.SIGCONT)
        self._frozen.clear()

    def _end(self, fleet: CutFleet) -> None:
        """Kill or stop a host."""
        if len(self._ended) >= MAX_ENDED_HOSTS:
            return
        host = self._rng.choice(self._cuttable(fleet))
        self._ended.append(host)
        host.process.send_signal(self._rng.choice((signal.SIGKILL, signal.SIGTERM)))

    async def _call_often(self, host: CutHost, tasks: anyio.abc.TaskGroup) -> None:
        for path in itertools.cycle(PATHS):
            tasks.start_soon(self._call, host, path)
            await anyio.sleep(CALL_INTERVAL_SECONDS)

    async def _call_on_kept_connections(self, host: CutHost) -> None:
        """Send one request after the other on a connection while that lives."""
        while True:
            with contextlib.suppress(ExchangeError, TimeoutError):
                conn = await ClientConnection.connect(host.process.caller_address, 1.0)
                try:
                    while await self._exchange(conn):
                        await anyio.sleep(CALL_INTERVAL_SECONDS)
                finally:
                    await conn.close()
            await anyio.sleep(CALL_INTERVAL_SECONDS)

    async def _exchange(self, conn: ClientConnection) -> bool:
        """Send one request; return whether the connection can be used again."""
        sent = self._new_request("/read/1")
        headers = [
            (b"Host", HOST_NAME.encode()),
            (b"Attempt-Id", sent.attempt.encode()),
            (b"Deadline-Ms", b"3000"),
        ]
        with anyio.fail_after(CALL_SECONDS):
            async with conn.exchange(b"GET", b"/read/1", headers, b"") as head:
                body = await conn.read_body(65_536)
        sent.status, sent.is_complete, sent.body = head.status, True, body
        is_last = head.headers.text(b"connection").lower() == "close"
        return conn.finish() and not is_last

    async def _call(self, host: CutHost, path: str) -> None:
        sent = self._new_request(path)
        tokens = None if path.startswith(("/read", "/book")) else "35,30"
        with contextlib.suppress(ExchangeError, TimeoutError):
            with anyio.fail_after(CALL_SECONDS):
                answer = await host.process.call(
                    path, attempt=sent.attempt, tokens=tokens
                )
            sent.status, sent.body = answer.status, answer.body
            sent.is_complete = answer.is_complete

    def _new_request(self, path: str) -> Sent:
        sent = Sent(path, f"soak-{next(self._numbers)}")
        self._sent.append(sent)
        return sent

    def _judge_promises(self, fleet: CutFleet) -> None:
        whole = b"".join(
            b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, EVENTS + 1)
        )
        runs: dict[str, int] = {}
        for server in (*self._engines, *self._stocks):
            for run in server.runs:
                attempt = run.text(b"attempt-id")
                runs[attempt] = runs.get(attempt, 0) + 1
        for sent in self._sent:
            is_stream = sent.path.startswith(("/query", "/draft"))
            expected = whole if is_stream else b"done"
            if sent.status == 200 and sent.is_complete and sent.body != expected:
                self._report.wrong.append(f"{sent.attempt}: not the whole answer")
            count = runs.get(sent.attempt, 0)
            if sent.path.startswith(("/draft", "/book")) and count > 1:
                self._report.wrong.append(f"{sent.attempt}: ran {count} times")
            if sent.status in NOT_RUN_STATUSES and count:
                self._report.wrong.append(f"{sent.attempt}: {sent.status}, but ran")
        for host in self._ended:
            code = host.process.process.returncode
            if code not in GOOD_EXITS:
                self._report.wrong.append(f"a host ended with {code}")
        for host in fleet.hosts:
            for name in ("endpoint_ended", "task_failed"):
                for line in host.process.events(name):
                    self._report.wrong.append(f"{name}: {line}")

    async def _judge_calm(self, fleet: CutFleet) -> None:
        """Check that all is as before the trouble."""
        calm = CutFleet(self._running(fleet), itertools.count(10**6))
        since = time.monotonic()
        await calm.send(CALM_SECONDS)
        for number, host in enumerate(calm.hosts):
            served, sent = host.served(since)
            if served != sent:
                self._report.wrong.append(f"host {number}: {served} of {sent} in calm")
            if host.process.events("path_lost") and not _is_restored(host):
                self._report.wrong.append(f"host {number}: paths still lost")


def _is_restored(host: CutHost) -> bool:
    lost = len(host.process.events("path_lost"))
    return lost == len(host.process.events("path_restored"))
