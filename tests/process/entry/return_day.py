"""A day of hosts that spend prepaid tokens before a store that returns, virtual time.

Hosts use the code of the product; the store, the messages between hosts, the callers
and the faults are simulated. Times are seconds of the day.
"""

from __future__ import annotations

import collections
import contextlib
import dataclasses
import random
import statistics
import time
from collections.abc import Iterator, Sequence
from typing import TypeVar, cast
from unittest import mock

import anyio
import msgspec

from knapweeddrum.core.admission.crash_register import CrashRegister
from knapweeddrum.core.catalog.caller_limits import CallerLimits
from knapweeddrum.core.catalog.configuration import Configuration
from knapweeddrum.core.catalog.service_list import ServiceList
from knapweeddrum.core.directory.host_directory import HostDirectory
from knapweeddrum.core.placing.endpoint_states import EndpointStates
from knapweeddrum.core.placing.placer import Placer
from knapweeddrum.core.prepaid.claim_recovery import ClaimRecovery
from knapweeddrum.core.prepaid.claim_witness import ClaimWitness
from knapweeddrum.core.prepaid.predecessor_claims import PredecessorClaims
from knapweeddrum.core.prepaid.token_accounts import TokenAccounts
from knapweeddrum.core.prepaid.token_owners import TokenOwners
from knapweeddrum.core.prepaid.token_verdict import TokenVerdict
from knapweeddrum.http.connection_pool import ConnectionPool
from knapweeddrum.http.header_list import HeaderList
from knapweeddrum.message.call.spending_record import MachineTime
from knapweeddrum.platform.exceptions import (
    AppendUnknownError,
    ConditionFailedError,
    EraDoubtError,
    LogUnavailableError,
    StoreReturnedError,
)
from knapweeddrum.platform.keyed_record import KeyedRecord
from knapweeddrum.platform.store_client import StoreClient
from knapweeddrum.platform.store_era import StoreEra
from knapweeddrum.platform.store_listing import StoreListing
from knapweeddrum.platform.store_page import StorePage
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.loan_exchange import LOAN_PATH, RETURN_PATH
from knapweeddrum.process.entry.lost_connection import LostConnection
from knapweeddrum.process.entry.page_server import PageAnswer
from knapweeddrum.process.entry.peer_client import (
    PEER_REQUEST_TIMEOUT_SECONDS,
    PEER_UNRESPONSIVE_SECONDS,
    PeerClient,
)
from knapweeddrum.process.entry.spending_task import SpendingTask
from knapweeddrum.process.entry.token_allocator import TokenAllocator
from knapweeddrum.process.entry.token_borrower import TokenBorrower
from knapweeddrum.process.entry.token_lender import TokenLender
from knapweeddrum.process.entry.token_unlocker import UNLOCK_PATH, TokenUnlocker
from knapweeddrum.process.entry.token_witness import TokenWitness
from knapweeddrum.settings.entry_settings import EntrySettings
from knapweeddrum.telemetry.metrics import Metrics
from knapweeddrum.value.host_record import HostRecord
from knapweeddrum.value.store_position import era_of, offset_of, store_position
from tests.process.entry.claim_race import virtual_clock
from tests.standins.recording_event_log import RecordingEventLog
from tools.budget_model.virtual_loop import run_virtual

ReplyT = TypeVar("ReplyT", bound=msgspec.Struct)

ORGANISATIONS = ("mill", "foundry", "office")
REQUEST_TOKENS = (500, 1_000, 3_000)
REQUEST_SECONDS = 0.5
STORE_SECONDS = 0.003
PEER_SECONDS = 0.002
HEARTBEAT_SECONDS = 1.5
START_SECONDS = 0.5
"""Time from the start of a process until it sends heartbeats."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReturnPlan:
    """What happens in a day; the times and kinds of faults come from the seed."""

    hosts: int = 5
    seconds: float = 60.0
    requests_per_second: float = 40.0
    prepaid: int = 600_000
    returns: int = 3
    max_copy_age: float = 30.0
    kills: int = 3
    """Kills of some or all hosts; each other one comes just at a return."""
    stops: int = 2
    """Planned stops of one host."""
    cuts: int = 2
    """Cuts of one host, from the store or from everything."""
    lose_replies: float = 0.02
    raises: int = 1
    lowerings: int = 0
    """Each by as much as a raise."""
    kill_most: int = 0
    """Hosts that are killed as the store returns, those with the largest claims."""


@dataclasses.dataclass(slots=True)
class _Written:
    at: float
    key: str
    value: bytes | None


class ReturningStore:
    """The streams of all hosts in a store that comes back from older copies."""

    def __init__(self) -> None:
        self.era = 0
        self.streams: dict[str, list[_Written]] = collections.defaultdict(list)
        self.is_away = False
        self.appends = 0
        self.reads = 0

    def return_from_copy(self, age: float) -> None:
        """Lose what was written in the last ``age`` seconds."""
        now = anyio.current_time()
        for records in self.streams.values():
            records[:] = [record for record in records if record.at <= now - age]
        self.era += 1
        self.is_away = False


class HostStore:
    """The calls of one host to the store, as StoreClient makes them."""

    def __init__(
        self, store: ReturningStore, rng: random.Random, lose_replies: float
    ) -> None:
        self._store = store
        self._rng = rng
        self._lose_replies = lose_replies
        self.era = StoreEra()
        self.is_cut = False

    async def append(
        self, name: str, records: Sequence[KeyedRecord], at: int | None = None
    ) -> int:
        if at is not None and at and era_of(at) != self.era.current:
            raise StoreReturnedError(self.era.current)
        await self._reach()
        store = self._store
        store.appends += 1
        era, stream = store.era, store.streams[name]
        is_lost = self._rng.random() < self._lose_replies
        is_met = at is None or offset_of(at) == len(stream)
        if is_met:
            now = anyio.current_time()
            stream += [_Written(now, r.key, r.value) for r in records]
        end = len(stream)
        await anyio.sleep(STORE_SECONDS)
        try:
            known = self._accept(era)
        except EraDoubtError as exc:
            raise AppendUnknownError(str(exc)) from exc
        if is_lost:
            raise AppendUnknownError("reply lost")
        if not is_met:
            raise ConditionFailedError(name, store_position(known, end))
        if at and era_of(at) != known:
            raise AppendUnknownError("another era")
        return store_position(known, end)

    async def read(
        self,
        name: str,
        start: int,
        _wait: float = 0.0,
        _on_late: object = None,
        _page_kb: int = 0,
    ) -> StorePage:
        if start and era_of(start) != self.era.current:
            raise StoreReturnedError(self.era.current)
        await self._reach()
        self._store.reads += 1
        era, records = self._store.era, list(self._store.streams[name])
        await anyio.sleep(STORE_SECONDS)
        known = self._believe(era)
        if start and era_of(start) != known:
            raise StoreReturnedError(known)
        first = offset_of(start)
        page = tuple(
            KeyedRecord(r.key, r.value, store_position(known, first + n))
            for n, r in enumerate(records[first:])
        )
        return StorePage(page, store_position(known, len(records)), complete=True)

    async def list_newest(self, name: str, _on_late: object = None) -> StoreListing:
        await self._reach()
        self._store.reads += 1
        era, records = self._store.era, list(self._store.streams[name])
        await anyio.sleep(STORE_SECONDS)
        known = self._believe(era)
        newest = {
            r.key: KeyedRecord(r.key, r.value, store_position(known, n))
            for n, r in enumerate(records)
        }
        items = tuple(r for r in newest.values() if r.value is not None)
        return StoreListing(items, store_position(known, len(records)))

    async def _reach(self) -> None:
        await anyio.sleep(STORE_SECONDS)
        if self.is_cut or self._store.is_away:
            raise LogUnavailableError("the store can't be reached")

    def _believe(self, era: int) -> int:
        try:
            return self._accept(era)
        except EraDoubtError as exc:
            raise LogUnavailableError(str(exc)) from exc

    def _accept(self, era: int) -> int:
        return self.era.accept(HeaderList([(b"Store-Era", str(era).encode())]))


class DayHost:
    """One process: its parts, its messages and whether it runs."""

    def __init__(self, day: ReturnDay, index: int, number: int) -> None:
        self.day = day
        self.index = index
        self.name = f"host-{index}"
        self.incarnation = f"{self.name}/{number}"
        self.address = f"10.0.{index}.{number}:2"
        self.is_alive = True
        self.is_cut = False
        self.is_frozen_out = False
        self.beat = 0
        self.scope = anyio.CancelScope()
        self.store = HostStore(day.store, day.rng, day.plan.lose_replies)
        self.ctx = _context(self, day)
        self.store.era.on_return = self.ctx.record_store_return
        self.ctx.store = cast("StoreClient", self.store)
        peers = cast("PeerClient", DayPeers(self))
        self.unlocker = TokenUnlocker(self.ctx, peers)
        self.witness = TokenWitness(self.ctx, peers)
        self.borrower = TokenBorrower(self.ctx, peers)
        self.spending = SpendingTask(self.ctx)
        self.allocator = TokenAllocator(
            self.ctx, self.unlocker, self.borrower, self.spending
        )
        self.lender = TokenLender(self.ctx, self.allocator)

    async def run(self) -> None:
        with self.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.allocator.run)
                tasks.start_soon(self.borrower.run)
                tasks.start_soon(self.unlocker.run)
                tasks.start_soon(self.spending.run)
                await anyio.sleep_forever()

    def kill(self) -> None:
        self.is_alive = False
        self.scope.cancel()

    async def stop(self) -> None:
        """Leave as a planned stop does, in shorter time."""
        self.ctx.draining = True
        await self.witness.announce_leave()
        self.ctx.drain_refuses_from = anyio.current_time()
        await anyio.sleep(REQUEST_SECONDS)
        if self.is_alive:
            await self.allocator.return_unused()
        self.kill()

    async def handle(self, path: bytes, body: bytes) -> PageAnswer:
        if path == UNLOCK_PATH:
            return await self.witness.unlock(body)
        if path == LOAN_PATH:
            return await self.lender.lend(body)
        if path == RETURN_PATH:
            return await self.lender.take_back(body)
        return await self.witness.record_leave(body)

    def record(self) -> HostRecord:
        return HostRecord(
            self.name,
            self.incarnation,
            self.address,
            self.address,
            "zone-a",
            self.ctx.claims_loaded and not self.ctx.draining,
            self.beat,
        )


class DayPeers:
    """The PeerClient of one host."""

    def __init__(self, host: DayHost) -> None:
        self._host = host
        self._unresponsive_until: dict[str, float] = {}

    def is_unresponsive(self, address: str) -> bool:
        return self._unresponsive_until.get(address, 0.0) > anyio.current_time()

    def has_ended(self, address: str) -> bool:
        """Return whether a process of this host has ended, as a refusal shows."""
        day = self._host.day
        if self._host.is_frozen_out:
            return False
        return all(h.address != address or not h.is_alive for h in day.hosts)

    async def post(
        self,
        address: str,
        path: bytes,
        message: msgspec.Struct,
        reply_type: type[ReplyT],
        timeout: float = PEER_REQUEST_TIMEOUT_SECONDS,
    ) -> ReplyT | None:
        day = self._host.day
        with anyio.move_on_after(timeout):
            await anyio.sleep(PEER_SECONDS)
            other = day.reachable(self._host, address)
            if other is None:
                await anyio.sleep_forever()
            answer = await other.handle(path, msgspec.json.encode(message))
            await anyio.sleep(PEER_SECONDS)
            is_lost = day.rng.random() < day.plan.lose_replies
            if is_lost or day.reachable(self._host, address) is None:
                await anyio.sleep_forever()
            if answer.status != 200:
                return None
            return msgspec.json.decode(answer.body, type=reply_type)
        now = anyio.current_time()
        self._unresponsive_until[address] = now + PEER_UNRESPONSIVE_SECONDS
        return None


class ReturnDay:
    """Plays one day; what callers spend is counted outside of the hosts."""

    def __init__(self, plan: ReturnPlan, seed: int) -> None:
        self.plan = plan
        self.rng = random.Random(seed)
        self.store = ReturningStore()
        self.hosts: list[DayHost] = []
        self.prepaid = dict.fromkeys(ORGANISATIONS, plan.prepaid)
        self.most_prepaid = dict(self.prepaid)
        """Largest amounts so far; what was spent before a lowering stays spent."""
        self.spent: collections.Counter[str] = collections.Counter()
        self.refused: collections.Counter[TokenVerdict] = collections.Counter()
        self.returned_at: list[float] = []
        self.closed_seconds: list[float] = []
        """Time from each return until a host that ran then claims again."""
        self.was_open_at_end = False
        self._numbers: collections.Counter[int] = collections.Counter()

    def play(self) -> None:
        run_virtual(self._play)

    @property
    def overspent(self) -> int:
        return sum(
            max(0, self.spent[name] - most) for name, most in self.most_prepaid.items()
        )

    @property
    def unspent(self) -> float:
        """Return the part of the prepaid tokens that nobody got."""
        total = sum(self.prepaid.values())
        return 1.0 - sum(self.spent.values()) / total

    def reachable(self, sender: DayHost, address: str) -> DayHost | None:
        if sender.is_frozen_out:
            return None
        for host in self.hosts:
            if host.address == address and host.is_alive and not host.is_frozen_out:
                return host
        return None

    async def _play(self) -> None:
        with virtual_clock(), _machine_clock():
            async with anyio.create_task_group() as tasks:
                for index in range(self.plan.hosts):
                    self._start(tasks, index, is_first=True)
                tasks.start_soon(self._beat)
                await anyio.sleep(3.0)
                tasks.start_soon(self._callers)
                self._schedule_faults(tasks)
                await anyio.sleep(self.plan.seconds)
                self.was_open_at_end = any(
                    h.is_alive and h.ctx.claim_recovery.is_open for h in self.hosts
                )
                tasks.cancel_scope.cancel()

    def _start(
        self, tasks: anyio.abc.TaskGroup, index: int, *, is_first: bool = False
    ) -> None:
        self._numbers[index] += 1
        host = DayHost(self, index, self._numbers[index])
        host.ctx.settings = dataclasses.replace(
            host.ctx.settings, is_first_start=is_first
        )
        if is_first:
            self.hosts.append(host)
        else:
            self.hosts[index] = host
        tasks.start_soon(host.run)

    async def _beat(self) -> None:
        """Write and read the heartbeats of the hosts that reach the store."""
        position = 0
        while True:
            await anyio.sleep(HEARTBEAT_SECONDS / 3)
            if self.store.is_away:
                for host in self.hosts:
                    host.ctx.hosts.store_lost()
                continue
            position += 1
            now = anyio.current_time()
            reaching = [h for h in self.hosts if h.is_alive and not h.store.is_cut]
            for host in reaching:
                host.beat += 1
            for host in self.hosts:
                if host.store.is_cut:
                    host.ctx.hosts.store_lost()
            for reader in reaching:
                for host in reaching:
                    reader.ctx.hosts.apply_heartbeat(host.name, position, host.record())
                reader.ctx.hosts.store_answered(now)
                reader.ctx.hosts_read_at = now
                reader.ctx.token_owners.set_hosts(reader.ctx.hosts.ready_hosts())

    async def _callers(self) -> None:
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.sleep(self.rng.expovariate(self.plan.requests_per_second))
                tasks.start_soon(self._request)

    async def _request(self) -> None:
        host = self.rng.choice(self.hosts)
        if not host.is_alive or not host.ctx.claims_loaded:
            return
        organisation = self.rng.choice(ORGANISATIONS)
        tokens = self.rng.choice(REQUEST_TOKENS)
        verdict = await host.allocator.reserve(organisation, tokens)
        if not host.is_alive:
            return
        if verdict is not TokenVerdict.RESERVED:
            self.refused[verdict] += 1
            return
        self.spent[organisation] += tokens
        await anyio.sleep(REQUEST_SECONDS)
        host.allocator.settle(organisation, tokens, tokens)

    def _schedule_faults(self, tasks: anyio.abc.TaskGroup) -> None:
        plan, rng = self.plan, self.rng
        returns = sorted(
            rng.uniform(2.0, plan.seconds - 8.0) for _ in range(plan.returns)
        )
        for at in returns:
            tasks.start_soon(self._return_store, at, tasks)
        for number in range(plan.kills):
            at = rng.uniform(1.0, plan.seconds - 5.0)
            if returns and number % 2 == 0:
                at = rng.choice(returns) + rng.uniform(-0.5, 3.0)
            tasks.start_soon(self._kill, at, tasks)
        for _ in range(plan.stops):
            tasks.start_soon(self._stop, rng.uniform(1.0, plan.seconds - 5.0), tasks)
        for _ in range(plan.cuts):
            tasks.start_soon(self._cut, rng.uniform(1.0, plan.seconds - 5.0))
        for _ in range(plan.raises):
            at = rng.uniform(1.0, plan.seconds - 5.0)
            tasks.start_soon(self._change_amount, at, plan.prepaid // 5)
        for _ in range(plan.lowerings):
            at = rng.uniform(1.0, plan.seconds - 5.0)
            tasks.start_soon(self._change_amount, at, -(plan.prepaid // 5))

    async def _return_store(self, at: float, tasks: anyio.abc.TaskGroup) -> None:
        age = self.rng.choice((0.1, 1.0, 3.0, 10.0, self.plan.max_copy_age))
        away = self.rng.uniform(0.1, 2.0)
        await anyio.sleep(at)
        self.store.is_away = True
        await anyio.sleep(away)
        self._kill_largest(tasks)
        self.store.return_from_copy(age)
        tasks.start_soon(self._time_recovery, anyio.current_time())

    def _kill_largest(self, tasks: anyio.abc.TaskGroup) -> None:
        by_claims = sorted(
            (host for host in self.hosts if host.is_alive),
            key=lambda host: sum(
                host.ctx.token_accounts.account(name, 0.0).confirmed
                for name in ORGANISATIONS
            ),
        )
        for host in by_claims[len(by_claims) - self.plan.kill_most :]:
            host.kill()
            tasks.start_soon(self._start_later, host.index, tasks)

    async def _start_later(self, index: int, tasks: anyio.abc.TaskGroup) -> None:
        await anyio.sleep(2 * START_SECONDS)
        if not self.hosts[index].is_alive:
            self._start(tasks, index)

    async def _time_recovery(self, begun: float) -> None:
        self.returned_at.append(begun)
        era = self.store.era
        while self.store.era == era:
            await anyio.sleep(0.05)
            for host in self.hosts:
                recovery = host.ctx.claim_recovery
                if host.is_alive and recovery.complete_era == era + 1:
                    self.closed_seconds.append(anyio.current_time() - begun)
                    return

    async def _kill(self, at: float, tasks: anyio.abc.TaskGroup) -> None:
        rng = self.rng
        count = rng.choice((1, 1, 1, 2, self.plan.hosts))
        chosen = rng.sample(range(self.plan.hosts), count)
        down = rng.uniform(0.5, 2.0)
        await anyio.sleep(at)
        for index in chosen:
            self.hosts[index].kill()
        await anyio.sleep(down)
        for index in chosen:
            if not self.hosts[index].is_alive:
                self._start(tasks, index)

    async def _stop(self, at: float, tasks: anyio.abc.TaskGroup) -> None:
        index = self.rng.randrange(self.plan.hosts)
        await anyio.sleep(at)
        host = self.hosts[index]
        if host.is_alive and not host.ctx.draining:
            await host.stop()
            await anyio.sleep(START_SECONDS)
            if self.hosts[index] is host:
                self._start(tasks, index)

    async def _cut(self, at: float) -> None:
        index = self.rng.randrange(self.plan.hosts)
        is_whole = self.rng.random() < 0.5
        seconds = self.rng.uniform(0.5, 12.0)
        await anyio.sleep(at)
        host = self.hosts[index]
        host.store.is_cut = True
        host.is_frozen_out = is_whole
        await anyio.sleep(seconds)
        host.store.is_cut = False
        host.is_frozen_out = False

    async def _change_amount(self, at: float, change: int) -> None:
        name = self.rng.choice(ORGANISATIONS)
        await anyio.sleep(at)
        self.prepaid[name] += change
        self.most_prepaid[name] = max(self.most_prepaid[name], self.prepaid[name])
        for host in self.hosts:
            host.ctx.token_accounts.set_prepaid(self.prepaid)


@contextlib.contextmanager
def _machine_clock() -> Iterator[None]:
    """Let the machines' clocks show the time of the day; no machine starts again."""

    def machine_time() -> MachineTime:
        now = anyio.current_time()
        return MachineTime("boot", now, now)

    name = f"{SpendingTask.__module__}.machine_time"
    with mock.patch(name, machine_time):
        yield


def _context(host: DayHost, day: ReturnDay) -> EntryContext:
    accounts = TokenAccounts(host.incarnation)
    accounts.set_prepaid(day.prepaid)
    losses, _ = anyio.create_memory_object_stream[LostConnection](1)
    service_list = ServiceList()
    ctx = EntryContext(
        settings=EntrySettings(host.name, "zone-a", "", "", "", None, host.address),
        incarnation=host.incarnation,
        store=cast("StoreClient", None),
        pool=ConnectionPool(lambda _: None),
        service_list=service_list,
        endpoint_states=EndpointStates(service_list),
        hosts=HostDirectory(host.name),
        token_accounts=accounts,
        token_owners=TokenOwners(host.name),
        crash_register=CrashRegister(),
        losses=losses,
        claim_witness=ClaimWitness(host.incarnation),
        claim_recovery=ClaimRecovery(host.incarnation),
        predecessor_claims=PredecessorClaims(host.name, host.incarnation),
        placer=Placer(),
        events=RecordingEventLog(),
        metrics=Metrics(),
        rng=random.Random(day.rng.getrandbits(32)),
    )
    ctx.fleet_known_from = time.monotonic() + START_SECONDS
    ctx.configuration = Configuration.build(1, (), (), (), CallerLimits())
    return ctx


@dataclasses.dataclass(frozen=True, slots=True)
class DaysReport:
    """Figures of many days."""

    overspent: dict[int, int]
    """Tokens overspent, by seed."""
    unspent: float
    most_unspent: float
    closed_seconds: float
    most_closed_seconds: float
    days_closed_at_end: int


def play_days(plan: ReturnPlan, seeds: Sequence[int]) -> DaysReport:
    """Play one day a seed."""
    days = {}
    for seed in seeds:
        days[seed] = ReturnDay(plan, seed)
        days[seed].play()
    closed = [s for day in days.values() for s in day.closed_seconds] or [0.0]
    unspent = [day.unspent for day in days.values()]
    return DaysReport(
        overspent={seed: day.overspent for seed, day in days.items() if day.overspent},
        unspent=statistics.fmean(unspent),
        most_unspent=max(unspent),
        closed_seconds=statistics.fmean(closed),
        most_closed_seconds=max(closed),
        days_closed_at_end=sum(not d.was_open_at_end for d in days.values()),
    )
