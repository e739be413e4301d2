"""Hosts before endpoints that name limits, in virtual time and without a network.

The hosts' heartbeats pass through a store that may refuse, lose or delay them.
"""

from __future__ import annotations

import bisect
import collections
import contextlib
import dataclasses
import enum
import random
from collections.abc import Mapping
from typing import TypeVar, cast

import anyio
import anyio.abc
import msgspec

from knapweeddrum.core.catalog.configuration import Configuration
from knapweeddrum.core.catalog.endpoint_entry import EndpointEntry
from knapweeddrum.core.placing.endpoint_state import EndpointState
from knapweeddrum.core.placing.endpoint_states import instance_name
from knapweeddrum.http.header_list import Header, HeaderList
from knapweeddrum.http.raw_reply_head import RawReplyHead
from knapweeddrum.platform import header_names as names
from knapweeddrum.platform.endpoint_protocol import decode_reply_head
from knapweeddrum.platform.streams import HOSTS_STREAM
from knapweeddrum.process.entry.endpoint_permits import EndpointPermits
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.fleet_view import FleetView
from knapweeddrum.process.entry.heartbeat_task import (
    HEARTBEAT_INTERVAL_SECONDS,
    HeartbeatTask,
)
from knapweeddrum.process.entry.host_reader import HostReader
from knapweeddrum.process.entry.limit_news_task import LimitNewsTask
from knapweeddrum.process.entry.notice_recorder import record_notices
from knapweeddrum.process.entry.page_server import PageHandler
from knapweeddrum.process.entry.peer_client import (
    PEER_REQUEST_TIMEOUT_SECONDS,
    PEER_UNRESPONSIVE_SECONDS,
    PeerClient,
)
from knapweeddrum.process.entry.permit_desk import (
    LIMIT_NEWS_PATH,
    PERMIT_PATH,
    PermitDesk,
)
from knapweeddrum.process.entry.sighting_task import SIGHTING_PATH, SightingTask
from knapweeddrum.process.entry.stream_follower import StreamFollower
from knapweeddrum.process.entry.stream_followers import HOSTS_READ_INTERVAL_SECONDS
from knapweeddrum.value.body_framing import BodyFraming
from tests.process.entry.claim_race import (
    ClaimRacePlan,
    DistantStore,
    make_context,
    peer_address,
    virtual_clock,
)
from tests.process.entry.hosts_store import HostsStore, HostsStoreLink, WriteFate
from tools.budget_model.virtual_loop import run_virtual

ReplyT = TypeVar("ReplyT", bound=msgspec.Struct)

STARTS_WITHIN_SECONDS = 1.0
CALLS_FROM = 4.0
NAMED_AT = 4.5
"""Time from which on the endpoints name their limits."""
STABLE_SECONDS = 3.0
WINDOW_SECONDS = 4.0
ANSWER_SECONDS = 0.05
PEER_SECONDS = 0.002
CUT_SECONDS = 6.0


class TroubleKind(enum.Enum):
    """What happens to some hosts, or to all."""

    WRITES_REFUSED = "writes refused"
    WRITES_LOST = "writes lost"
    WRITES_LATE = "writes late"
    STORE_CUT = "no path to the store"
    STORE_RETURN = "the store returns from a copy as old as the trouble is long"
    HOST_CUT = "no path to the other hosts"
    KILL = "killed, and started again afterwards"
    ENDPOINT_START = "the endpoints start again"


FATES = {
    TroubleKind.WRITES_REFUSED: WriteFate.REFUSED,
    TroubleKind.WRITES_LOST: WriteFate.LOST,
    TroubleKind.WRITES_LATE: WriteFate.LATE,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Trouble:
    """Trouble of some hosts from ``at`` on; times in seconds of the day."""

    kind: TroubleKind
    at: float
    seconds: float = 0.0
    hosts: tuple[int, ...] = ()
    """Numbers of the hosts, none for all."""


@dataclasses.dataclass(frozen=True, slots=True)
class LimitPlan:
    """Hosts, endpoints and callers; times in seconds of the day."""

    hosts: int
    limit: float
    demand: float
    """Requests a second from all callers."""
    endpoints: int = 3
    callers_at: int = 0
    """Hosts that callers use, 0 for all."""
    seconds: float = 30.0
    ends_at: float = float("inf")
    """Time from which on no limit is named."""
    restart_at: float = float("inf")
    """Time at which the owner of the first endpoint's permits starts again."""
    cut_at: float = float("inf")
    """Time from which on it reaches no other host for six seconds."""
    refused: float = 0.0
    """Part of the requests that are refused without naming the limit."""
    unnamed: float = 0.0
    """Part of the whole answers that don't name the limit."""
    troubles: tuple[Trouble, ...] = ()
    reads_heartbeats: bool = True
    """Whether hosts learn of each other from the store; else they know all others from
    the start and tell each other of limits, which is fast to play."""


class _Peers:
    def __init__(self, day: LimitDay, number: int) -> None:
        self._day = day
        self._number = number
        self._until: dict[str, float] = {}

    def is_unresponsive(self, address: str) -> bool:
        return self._until.get(address, 0.0) > anyio.current_time()

    async def post(
        self,
        address: str,
        path: bytes,
        message: msgspec.Struct,
        reply_type: type[ReplyT],
        timeout: float = PEER_REQUEST_TIMEOUT_SECONDS,
    ) -> ReplyT | None:
        day = self._day
        day.questions += 1
        with anyio.move_on_after(timeout):
            await anyio.sleep(PEER_SECONDS)
            host = day.host_at(address)
            if not day.reaches(self._number, host.number):
                await anyio.sleep_forever()
            if host.is_running:
                answer = await host.pages[path](msgspec.json.encode(message))
                await anyio.sleep(PEER_SECONDS)
                return msgspec.json.decode(answer.body, type=reply_type)
        self._until[address] = anyio.current_time() + PEER_UNRESPONSIVE_SECONDS
        return None


class LimitHost:
    """One host; a new object for each start."""

    def __init__(self, day: LimitDay, number: int, start: int) -> None:
        self.number = number
        self.start = start
        self.scope = anyio.CancelScope()
        self.is_running = True
        self._reads_heartbeats = day.plan.reads_heartbeats
        self.ctx = _context(day, number, start)
        peers = cast("PeerClient", _Peers(day, number))
        self.desk = PermitDesk(self.ctx)
        self.permits = EndpointPermits(self.ctx, peers, self.desk)
        self._fleet_view = FleetView(self.ctx)
        self._sightings = SightingTask(self.ctx, peers, self._fleet_view)
        self._limit_news = LimitNewsTask(self.ctx, peers)
        self.pages: Mapping[bytes, PageHandler] = {
            PERMIT_PATH: self.desk.answer,
            LIMIT_NEWS_PATH: self.desk.take_news,
            SIGHTING_PATH: self._sightings.exchange,
        }
        day.prepare(self)

    async def run(self) -> None:
        if not self._reads_heartbeats:
            await self._limit_news.run()
        ctx = self.ctx
        follower = StreamFollower(
            ctx.store,
            HOSTS_STREAM,
            HostReader(ctx, self._fleet_view),
            ctx.events,
            0.0,
            HOSTS_READ_INTERVAL_SECONDS,
        )
        with self.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(follower.run)
                tasks.start_soon(HeartbeatTask(ctx).run)
                tasks.start_soon(self._limit_news.run)
                tasks.start_soon(self._sightings.run)

    def kill(self) -> None:
        self.is_running = False
        self.scope.cancel()


class LimitDay:
    """Plays one day; arrivals are counted at the endpoints."""

    def __init__(self, plan: LimitPlan, seed: int) -> None:
        self.plan = plan
        self.rng = random.Random(seed)
        self.store = HostsStore(self.rng)
        self.entries = [
            EndpointEntry(f"e{n}", "engine", f"10.1.0.{n}:1", "a", 8)
            for n in range(plan.endpoints)
        ]
        self.arrivals: dict[str, list[float]] = collections.defaultdict(list)
        """Times of arrivals by the start of an endpoint."""
        self.named_from: dict[str, float] = {}
        self.hosts: list[LimitHost] = []
        self.cut: set[int] = set()
        """Hosts that reach only each other."""
        self.questions = 0

    def prepare(self, host: LimitHost) -> None:
        """Set up a host that is about to start."""

    def play(self) -> LimitDay:
        run_virtual(self._play)
        return self

    @property
    def worst_window(self) -> int:
        """Return the most arrivals in four seconds, once all hosts must know."""
        return max(
            self._worst_window(instance, times)
            for instance, times in self.arrivals.items()
        )

    def _worst_window(self, instance: str, times: list[float]) -> int:
        counted_from = self.named_from.get(instance, float("inf")) + STABLE_SECONDS
        counted = [at for at in times if counted_from <= at < self.plan.ends_at]
        return max(
            (
                bisect.bisect_left(counted, first + WINDOW_SECONDS) - position
                for position, first in enumerate(counted)
            ),
            default=0,
        )

    @property
    def allowed(self) -> float:
        return 1.5 * self.plan.limit * WINDOW_SECONDS + 5

    def used(self, begun: float, ended: float) -> float:
        """Return the part of the limits that was used in a span."""
        arrived = sum(
            1 for times in self.arrivals.values() for at in times if begun <= at < ended
        )
        plan = self.plan
        return arrived / (plan.limit * plan.endpoints * (ended - begun))

    def host_at(self, address: str) -> LimitHost:
        return next(h for h in self.hosts if peer_address(h.number) == address)

    def reaches(self, one: int, other: int) -> bool:
        return (one in self.cut) == (other in self.cut)

    def owner(self) -> int:
        """Return the host that gives the permits of the first endpoint."""
        name = instance_name(self.entries[0])
        return next(
            host.number
            for host in self.hosts
            if host.is_running and not host.ctx.token_owners_before(name)
        )

    async def _play(self) -> None:
        plan = self.plan
        with virtual_clock():
            async with anyio.create_task_group() as tasks:
                self.store.late_writes = tasks
                for number in range(plan.hosts):
                    self.hosts.append(LimitHost(self, number, 1))
                    tasks.start_soon(self._run, self.hosts[number])
                if not plan.reads_heartbeats:
                    tasks.start_soon(self._tell_limits)
                tasks.start_soon(self._callers)
                tasks.start_soon(self._restart, tasks)
                tasks.start_soon(self._cut)
                for trouble in plan.troubles:
                    tasks.start_soon(self._trouble, trouble, tasks)
                await anyio.sleep(plan.seconds)
                tasks.cancel_scope.cancel()

    async def _run(self, host: LimitHost) -> None:
        await anyio.sleep(self.rng.uniform(0.0, STARTS_WITHIN_SECONDS))
        await host.run()

    def _start_again(self, number: int, tasks: anyio.abc.TaskGroup) -> None:
        before = self.hosts[number]
        before.kill()
        self.hosts[number] = LimitHost(self, number, before.start + 1)
        tasks.start_soon(self.hosts[number].run)

    async def _tell_limits(self) -> None:
        while True:
            await anyio.sleep(HEARTBEAT_INTERVAL_SECONDS)
            now = anyio.current_time()
            told = [host.ctx.endpoint_limits.told(now) for host in self.hosts]
            for host in self.hosts:
                host.ctx.standing.record_written(now)
                for limits in told:
                    host.ctx.endpoint_limits.merge(limits, now)

    async def _callers(self) -> None:
        plan = self.plan
        await anyio.sleep(CALLS_FROM)
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.sleep(self.rng.expovariate(plan.demand))
                number = self.rng.randrange(plan.callers_at or plan.hosts)
                tasks.start_soon(self._request, self.hosts[number])

    async def _request(self, host: LimitHost) -> None:
        while host.is_running and host.ctx.is_ready:
            limits = host.ctx.endpoint_limits
            now = anyio.current_time()
            states = [
                state
                for state in host.ctx.endpoint_states.of_service("engine")
                if not limits.wait(instance_name(state.entry), now)
            ]
            if not states:
                return
            state = self.rng.choice(states)
            if await host.permits.acquire(state):
                await self._send(host, state)
                return

    async def _send(self, host: LimitHost, state: EndpointState) -> None:
        if not host.is_running:
            return
        sent_at = anyio.current_time()
        instance = instance_name(state.entry)
        self.arrivals[instance].append(sent_at)
        plan = self.plan
        is_refused = self.rng.random() < plan.refused
        is_named = NAMED_AT <= sent_at < plan.ends_at
        is_named = is_named and not is_refused and self.rng.random() >= plan.unnamed
        await anyio.sleep(ANSWER_SECONDS)
        if is_named:
            self.named_from.setdefault(instance, anyio.current_time())
        if host.is_running:
            head = self._head(is_refused=is_refused, is_named=is_named)
            record_notices(host.ctx, state, decode_reply_head(head), sent_at)

    def _head(self, *, is_refused: bool, is_named: bool) -> RawReplyHead:
        headers: list[Header] = [(names.RESPONSE_STAMP, b"stamp")]
        if is_refused:
            headers.append((names.NOT_EXECUTED, b"1"))
        if is_named:
            headers.append((names.SERVER_LIMIT, str(self.plan.limit).encode()))
        status = 503 if is_refused else 200
        return RawReplyHead(status, HeaderList(headers), BodyFraming.LENGTH)

    async def _restart(self, tasks: anyio.abc.TaskGroup) -> None:
        if self.plan.restart_at < self.plan.seconds:
            await anyio.sleep(self.plan.restart_at)
            self._start_again(self.owner(), tasks)

    async def _cut(self) -> None:
        if self.plan.cut_at < self.plan.seconds:
            await anyio.sleep(self.plan.cut_at)
            self.cut.add(self.owner())
            await anyio.sleep(CUT_SECONDS)
            self.cut.clear()

    async def _trouble(self, trouble: Trouble, tasks: anyio.abc.TaskGroup) -> None:
        await anyio.sleep(trouble.at)
        numbers = set(trouble.hosts or range(self.plan.hosts))
        kind = trouble.kind
        if kind is TroubleKind.ENDPOINT_START:
            self._restart_endpoints()
        elif kind is TroubleKind.KILL:
            for number in numbers:
                self.hosts[number].kill()
            await anyio.sleep(trouble.seconds)
            for number in sorted(numbers):
                self._start_again(number, tasks)
        elif kind is TroubleKind.STORE_RETURN:
            everybody = set(range(self.plan.hosts)) - self.store.cut
            with _added(self.store.cut, everybody):
                await anyio.sleep(min(1.0, trouble.seconds))
            self.store.go_back(trouble.seconds)
        elif kind in FATES:
            self.store.fates.update(dict.fromkeys(numbers, FATES[kind]))
            await anyio.sleep(trouble.seconds)
            for number in numbers:
                self.store.fates.pop(number, None)
        else:
            cut = self.cut if kind is TroubleKind.HOST_CUT else self.store.cut
            with _added(cut, numbers - cut):
                await anyio.sleep(trouble.seconds)

    def _restart_endpoints(self) -> None:
        started = int(anyio.current_time() * 1000)
        self.entries = [
            dataclasses.replace(entry, started_at_ms=started) for entry in self.entries
        ]
        for host in self.hosts:
            _apply_entries(host.ctx, self.entries, started)


@contextlib.contextmanager
def _added(cut: set[int], numbers: set[int]) -> collections.abc.Iterator[None]:
    cut |= numbers
    yield
    cut -= numbers


def _context(day: LimitDay, number: int, start: int) -> EntryContext:
    """Return the state of a host that has just started and knows no other."""
    link = cast("DistantStore", HostsStoreLink(day.store, number))
    known = 0 if day.plan.reads_heartbeats else day.plan.hosts
    ctx = make_context(number, ClaimRacePlan(hosts=known), link)
    name = ctx.settings.host_name
    ctx.settings = dataclasses.replace(ctx.settings, peer_address=peer_address(number))
    ctx.incarnation = f"{name}/{start}"
    ctx.configuration = cast("Configuration", object())
    ctx.claims_loaded = ctx.crash_records_loaded = ctx.versions_recalled = True
    ctx.service_list_read_at = 0.0
    if day.plan.reads_heartbeats:
        # make_context takes the heartbeats for read since the day began.
        ctx.hosts.store_lost()
    else:
        ctx.hosts_read_at = 0.0
    _apply_entries(ctx, day.entries, 0)
    return ctx


def _apply_entries(
    ctx: EntryContext, entries: list[EndpointEntry], position: int
) -> None:
    for number, entry in enumerate(entries):
        offset = position + number
        ctx.service_list.apply_entry(entry.endpoint_id, offset, entry, 0.0)
