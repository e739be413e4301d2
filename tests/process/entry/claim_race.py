"""Many hosts that claim and lend prepaid tokens, in simulated time."""

from __future__ import annotations

import collections
import contextlib
import dataclasses
import random
import time
from collections.abc import Iterator, Mapping, Sequence
from typing import TypeVar, cast
from unittest import mock

import anyio
import msgspec

from knapweeddrum.core.admission.crash_register import CrashRegister
from knapweeddrum.core.catalog.caller_limits import CallerLimits
from knapweeddrum.core.catalog.configuration import Configuration
from knapweeddrum.core.catalog.service_list import ServiceList
from knapweeddrum.core.directory.host_directory import (
    HEARTBEAT_TIMEOUT_SECONDS,
    HostDirectory,
)
from knapweeddrum.core.placing.endpoint_states import EndpointStates
from knapweeddrum.core.placing.placer import Placer
from knapweeddrum.core.prepaid.claim_recovery import ClaimRecovery
from knapweeddrum.core.prepaid.claim_witness import ClaimWitness
from knapweeddrum.core.prepaid.predecessor_claims import PredecessorClaims
from knapweeddrum.core.prepaid.token_accounts import TokenAccounts
from knapweeddrum.core.prepaid.token_owners import TokenOwners
from knapweeddrum.core.prepaid.token_verdict import TokenVerdict
from knapweeddrum.http.connection_pool import ConnectionPool
from knapweeddrum.platform.exceptions import (
    ConditionFailedError,
    LogUnavailableError,
)
from knapweeddrum.platform.keyed_record import KeyedRecord
from knapweeddrum.platform.store_client import StoreClient
from knapweeddrum.platform.store_listing import StoreListing
from knapweeddrum.platform.store_page import StorePage
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.loan_exchange import LOAN_PATH
from knapweeddrum.process.entry.lost_connection import LostConnection
from knapweeddrum.process.entry.peer_client import (
    PEER_REQUEST_TIMEOUT_SECONDS,
    PEER_UNRESPONSIVE_SECONDS,
    PeerClient,
)
from knapweeddrum.process.entry.spending_task import SpendingTask
from knapweeddrum.process.entry.token_allocator import TokenAllocator
from knapweeddrum.process.entry.token_borrower import TokenBorrower
from knapweeddrum.process.entry.token_lender import TokenLender
from knapweeddrum.process.entry.token_unlocker import TokenUnlocker
from knapweeddrum.settings.entry_settings import EntrySettings
from knapweeddrum.telemetry.metrics import Metrics
from knapweeddrum.value.host_record import HostRecord
from tests.standins.recording_event_log import RecordingEventLog
from tools.budget_model.virtual_loop import run_virtual

ReplyT = TypeVar("ReplyT", bound=msgspec.Struct)

ORGANISATIONS = tuple(f"organisation-{number}" for number in range(24))
LARGE = ORGANISATIONS[0]
PREPAID_TOKENS = 9_000_000
REQUEST_TOKENS = (2_000, 6_000, 10_000)
REQUEST_SECONDS = 1.0
APPEND_SECONDS = 0.001
"""Time in which the store carries out one append, one after the other."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRacePlan:
    """Hosts, their requests a second, and the time between a host and the store."""

    hosts: int = 62
    requests_per_second: float = 6.0
    store_seconds: float = 0.005
    """One way, with the host's own time to handle it."""
    busy_requests_per_second: float = 55.0
    busy_store_seconds: float = 0.015
    seconds: float = 5.0
    lose_replies: float = 0.0
    """Fraction of the replies between hosts that never arrive."""
    prepaid: int = PREPAID_TOKENS
    """Prepaid tokens of each organisation."""
    vanishing: int = 0
    """Hosts that vanish; the owner of the largest organisation is one of them."""
    vanish_after: float = 2.5
    """Seconds from the first request until they vanish."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A request that was refused, and what was left of its organisation's tokens."""

    at: float
    """Second in which it came."""
    organisation: str
    tokens: int
    verdict: TokenVerdict
    tokens_left: int
    """Neither spent or reserved by anybody nor held by a host that vanished."""

    @property
    def fits(self) -> bool:
        """Return whether enough tokens were left for it."""
        return self.tokens <= self.tokens_left


@dataclasses.dataclass(slots=True)
class HostTally:
    """What the requests of one host got, by the second in which they came."""

    reserved: list[float] = dataclasses.field(default_factory=list)
    refused: list[float] = dataclasses.field(default_factory=list)
    refusals: list[Refusal] = dataclasses.field(default_factory=list)

    def refused_fraction(self, after: float) -> float:
        """Return the fraction refused of the requests that came after a time."""
        refused = sum(1 for at in self.refused if at >= after)
        reserved = sum(1 for at in self.reserved if at >= after)
        return refused / max(1, refused + reserved)


class SharedStream:
    """The claims of all hosts; carries out one append at a time."""

    def __init__(self) -> None:
        self.records: list[KeyedRecord] = []
        self.appends = 0
        self.conflicts = 0
        self.reads = 0
        self._turn = anyio.Lock()

    async def append(self, records: Sequence[KeyedRecord], expected_end: int) -> int:
        async with self._turn:
            self.appends += 1
            if expected_end != len(self.records):
                self.conflicts += 1
                raise ConditionFailedError("claims")
            await anyio.sleep(APPEND_SECONDS)
            for record in records:
                offset = len(self.records)
                self.records.append(KeyedRecord(record.key, record.value, offset))
            return len(self.records)


class DistantStore:
    """The calls of one host to the shared stream."""

    def __init__(self, stream: SharedStream, seconds: float) -> None:
        self._stream = stream
        self._seconds = seconds
        self.refuses_writes = False
        self.refuses_reads = False

    async def append(
        self, _name: str, records: Sequence[KeyedRecord], expected_end: int
    ) -> int:
        await anyio.sleep(self._seconds)
        if self.refuses_writes:
            raise LogUnavailableError("append refused with status 503")
        try:
            return await self._stream.append(records, expected_end)
        finally:
            await anyio.sleep(self._seconds)

    async def read(
        self,
        _name: str,
        start: int,
        _wait: float = 0.0,
        _on_late: object = None,
        _page_kb: int = 0,
    ) -> StorePage:
        await anyio.sleep(self._seconds)
        if self.refuses_reads:
            raise LogUnavailableError("read refused with status 503")
        self._stream.reads += 1
        records = self._stream.records
        page = StorePage(tuple(records[start:]), len(records), complete=True)
        await anyio.sleep(self._seconds)
        return page

    async def list_newest(self, _name: str, _on_late: object = None) -> StoreListing:
        return StoreListing((), 0)


class _ConsentingUnlocker:
    """Stands in for witnesses that consent at once."""

    def __init__(self, ctx: EntryContext) -> None:
        self._accounts = ctx.token_accounts
        self._witnesses = ctx.witnesses

    async def unlock(self, organisation: str, tokens: int) -> None:
        account = self._accounts.account(organisation, time.monotonic())
        account.unlocked = max(account.unlocked, account.confirmed)

    async def unlock_all(self, wanted: Mapping[str, int]) -> None:
        now = time.monotonic()
        for organisation, tokens in wanted.items():
            account = self._accounts.account(organisation, now)
            limit = account.next_unlocked_limit(tokens, now)
            account.unlocked = max(account.unlocked, min(account.claimed, limit))

    def silent_witnesses(self) -> frozenset[str]:
        return frozenset()

    def witnesses(self) -> list[str]:
        return self._witnesses()


class PeerNetwork:
    """Carries loans and returns between the hosts, and counts them.

    A message takes the time that the hosts at both ends need to handle it.
    """

    def __init__(self) -> None:
        self.lenders: dict[str, TokenLender] = {}
        self.seconds: dict[str, float] = {}
        self.calls = 0
        self.bytes = 0
        self.calls_to: collections.Counter[str] = collections.Counter()
        self.lose_replies = 0.0
        """Fraction of the replies that never arrive."""
        self.vanished: set[str] = set()
        """Addresses that answer no more."""
        self.rng = random.Random(1)

    async def carry(self, address: str, path: bytes, body: bytes) -> bytes:
        self.calls += 1
        self.calls_to[address] += 1
        await anyio.sleep(self.seconds[address])
        if address in self.vanished:
            await anyio.sleep_forever()
        lender = self.lenders[address]
        handler = lender.lend if path == LOAN_PATH else lender.take_back
        answer = await handler(body)
        self.bytes += len(body) + len(answer.body)
        if self.rng.random() < self.lose_replies:
            await anyio.sleep_forever()
        return answer.body


class _NetworkedPeers:
    """The PeerClient of one host on a PeerNetwork."""

    def __init__(self, network: PeerNetwork, seconds: float) -> None:
        self._network = network
        self._seconds = seconds
        self._unresponsive_until: dict[str, float] = {}

    def is_unresponsive(self, address: str) -> bool:
        return self._unresponsive_until.get(address, 0.0) > anyio.current_time()

    async def post(
        self,
        address: str,
        path: bytes,
        message: msgspec.Struct,
        reply_type: type[ReplyT],
        timeout: float = PEER_REQUEST_TIMEOUT_SECONDS,
    ) -> ReplyT | None:
        with anyio.move_on_after(timeout):
            await anyio.sleep(self._seconds)
            answer = await self._network.carry(
                address, path, msgspec.json.encode(message)
            )
            await anyio.sleep(self._seconds)
            return msgspec.json.decode(answer, type=reply_type)
        self._unresponsive_until[address] = (
            anyio.current_time() + PEER_UNRESPONSIVE_SECONDS
        )
        return None


class ClaimRace:
    """Plays one race; host 0 is the busy one, for the largest organisation."""

    def __init__(self, plan: ClaimRacePlan, seed: int) -> None:
        self.plan = plan
        self.stream: SharedStream
        self.tallies = [HostTally() for _ in range(plan.hosts)]
        self._rng = random.Random(seed)
        self.allocators: list[TokenAllocator] = []
        self.borrowers: list[TokenBorrower] = []
        self.accounts: list[TokenAccounts] = []
        self.contexts: list[EntryContext] = []
        self.network = PeerNetwork()
        self.spent: collections.Counter[str] = collections.Counter()
        """Tokens that were reserved and not given back, by organisation."""
        self.vanished: frozenset[int] = frozenset()
        """Numbers of the hosts that vanish in the course of the race."""
        self.processor_seconds = 0.0
        self._stranded: collections.Counter[str] = collections.Counter()
        """Tokens that hosts held which vanished, by organisation."""
        self._scopes: list[anyio.CancelScope] = []

    def play(self) -> None:
        """Play to the end."""
        begun = time.process_time()
        run_virtual(self._play)
        self.processor_seconds = time.process_time() - begun

    @property
    def store_calls_per_host_second(self) -> float:
        """Return the calls to the store that a host makes in a second."""
        return self._per_host_second(self.stream.appends + self.stream.reads)

    @property
    def messages_per_host_second(self) -> float:
        """Return the messages that a host sends to the others in a second."""
        return self._per_host_second(self.network.calls)

    @property
    def bytes_per_host_second(self) -> float:
        """Return the bytes of messages and replies that a host causes in a second."""
        return self._per_host_second(self.network.bytes)

    def refused_fraction(self, after: float) -> float:
        """Return the fraction refused at all hosts that stay, though tokens are left.

        Counted are requests that came ``after`` seconds or more from the first.
        """
        refused = sum(1 for r in self.refusals() if r.fits and r.at >= after)
        served = sum(
            1 for tally in self._staying() for at in tally.reserved if at >= after
        )
        return refused / max(1, refused + served)

    def refusals(self) -> list[Refusal]:
        """Return the refusals of the hosts that stay."""
        return [refusal for tally in self._staying() for refusal in tally.refusals]

    def overspent(self) -> dict[str, int]:
        """Return the organisations that reserved more than they have prepaid."""
        return {
            organisation: tokens
            for organisation, tokens in self.spent.items()
            if tokens > self.plan.prepaid
        }

    def _staying(self) -> list[HostTally]:
        return [
            tally
            for number, tally in enumerate(self.tallies)
            if number not in self.vanished
        ]

    def _per_host_second(self, count: int) -> float:
        return count / self.plan.hosts / self.plan.seconds

    async def _play(self) -> None:
        with virtual_clock():
            self.stream = SharedStream()
            self.network.lose_replies = self.plan.lose_replies
            for number in range(self.plan.hosts):
                self._add_host(number)
            self.vanished = self._choose_vanishing()
            async with anyio.create_task_group() as tasks:
                for number in range(self.plan.hosts):
                    tasks.start_soon(self._run_host, number)
                if self.vanished:
                    tasks.start_soon(self._vanish)
                await anyio.sleep(1.0 + self.plan.seconds)
                tasks.cancel_scope.cancel()

    async def _run_host(self, number: int) -> None:
        with self._scopes[number]:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.allocators[number].run)
                tasks.start_soon(self.borrowers[number].run)
                await anyio.sleep(1.0)
                tasks.start_soon(self._callers, number)

    def _choose_vanishing(self) -> frozenset[int]:
        """Return hosts by chance, and the owner of the largest organisation."""
        if not self.plan.vanishing:
            return frozenset()
        owner = next(
            number
            for number, ctx in enumerate(self.contexts)
            if not ctx.token_owners_before(LARGE)
        )
        others = [n for n in range(1, self.plan.hosts) if n != owner]
        return frozenset(
            [owner, *self._rng.sample(others, self.plan.vanishing - 1)],
        )

    async def _vanish(self) -> None:
        """End the hosts at once; the others leave them out when heartbeats lapse."""
        await anyio.sleep(1.0 + self.plan.vanish_after)
        for number in self.vanished:
            self.network.vanished.add(peer_address(number))
            self._scopes[number].cancel()
            self._strand_tokens(self.accounts[number])
        await anyio.sleep(HEARTBEAT_TIMEOUT_SECONDS)
        for ctx in self.contexts:
            for number in self.vanished:
                ctx.hosts.apply_heartbeat(f"host-{number}", self.plan.hosts, None)
            ctx.token_owners.set_hosts(ctx.hosts.ready_hosts())

    def _strand_tokens(self, accounts: TokenAccounts) -> None:
        now = time.monotonic()
        for organisation in accounts.active_organisations():
            account = accounts.account(organisation, now)
            held = account.confirmed + account.borrowed_tokens - account.used
            self._stranded[organisation] += max(0, held)

    def _add_host(self, number: int) -> None:
        plan = self.plan
        seconds = plan.busy_store_seconds if number == 0 else plan.store_seconds
        ctx = make_context(number, plan, DistantStore(self.stream, seconds))
        ctx.fleet_known_from = 0.0
        ctx.configuration = Configuration.build(1, (), (), (), CallerLimits())
        # Other streams than the claims are not simulated; the store answers them.
        ctx.hosts_read_at = plan.seconds
        unlocker = cast("TokenUnlocker", _ConsentingUnlocker(ctx))
        peers = cast("PeerClient", _NetworkedPeers(self.network, seconds))
        borrower = TokenBorrower(ctx, peers)
        allocator = TokenAllocator(ctx, unlocker, borrower, SpendingTask(ctx))
        address = peer_address(number)
        self.network.lenders[address] = TokenLender(ctx, allocator)
        self.network.seconds[address] = seconds
        self.contexts.append(ctx)
        self.accounts.append(ctx.token_accounts)
        self.borrowers.append(borrower)
        self.allocators.append(allocator)
        self._scopes.append(anyio.CancelScope())

    async def _callers(self, number: int) -> None:
        plan, rng = self.plan, self._rng
        rate = (
            plan.busy_requests_per_second if number == 0 else plan.requests_per_second
        )
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.sleep(rng.expovariate(rate))
                organisation = LARGE if number == 0 else rng.choice(ORGANISATIONS)
                tokens = rng.choice(REQUEST_TOKENS)
                tasks.start_soon(self._request, number, organisation, tokens)

    async def _request(self, number: int, organisation: str, tokens: int) -> None:
        arrived_at = time.monotonic() - 1.0
        allocator = self.allocators[number]
        verdict = await allocator.reserve(organisation, tokens)
        tally = self.tallies[number]
        if verdict is not TokenVerdict.RESERVED:
            tally.refused.append(arrived_at)
            left = self.plan.prepaid - self.spent[organisation]
            left -= self._stranded[organisation]
            refusal = Refusal(arrived_at, organisation, tokens, verdict, left)
            tally.refusals.append(refusal)
            return
        tally.reserved.append(arrived_at)
        self.spent[organisation] += tokens
        await anyio.sleep(REQUEST_SECONDS)
        allocator.settle(organisation, tokens, tokens)


@contextlib.contextmanager
def virtual_clock() -> Iterator[None]:
    with mock.patch("time.monotonic", anyio.current_time):
        yield


def peer_address(number: int) -> str:
    """Return the address at which a host answers the other hosts."""
    return f"10.0.0.{number}:2"


def make_context(number: int, plan: ClaimRacePlan, store: DistantStore) -> EntryContext:
    """Return the state of a host that knows all others."""
    name = f"host-{number}"
    directory = HostDirectory(name)
    for other in range(plan.hosts):
        record = HostRecord(
            f"host-{other}",
            f"host-{other}/1",
            f"10.0.0.{other}:1",
            peer_address(other),
            "zone-a",
            True,
            1,
        )
        directory.apply_heartbeat(f"host-{other}", other, record)
    directory.store_answered(0.0)
    owners = TokenOwners(name)
    owners.set_hosts(directory.ready_hosts())
    accounts = TokenAccounts(f"{name}/1")
    accounts.set_prepaid(dict.fromkeys(ORGANISATIONS, plan.prepaid))
    losses, _ = anyio.create_memory_object_stream[LostConnection](1)
    service_list = ServiceList()
    return EntryContext(
        settings=EntrySettings(name, "zone-a", "", "", "", None, ""),
        incarnation=f"{name}/1",
        store=cast("StoreClient", store),
        pool=ConnectionPool(lambda _: None),
        service_list=service_list,
        endpoint_states=EndpointStates(service_list),
        hosts=directory,
        token_accounts=accounts,
        token_owners=owners,
        crash_register=CrashRegister(),
        losses=losses,
        claim_witness=ClaimWitness(f"{name}/1"),
        claim_recovery=ClaimRecovery(f"{name}/1"),
        predecessor_claims=PredecessorClaims(name, f"{name}/1"),
        placer=Placer(),
        events=RecordingEventLog(),
        metrics=Metrics(),
        rng=random.Random(number),
    )
