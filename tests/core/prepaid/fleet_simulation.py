"""Simulates hosts that spend prepaid tokens, without a network.

Times are seconds of the simulation. Hosts, claims and loans use the code of the
product; the store, the callers and the faults are simulated. Messages take no time.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
import zlib
from collections.abc import Callable, Sequence

from knapweeddrum.core.prepaid.claim_witness import ClaimWitness
from knapweeddrum.core.prepaid.token_accounts import TokenAccounts
from knapweeddrum.core.prepaid.token_owners import TokenOwners
from knapweeddrum.process.entry.token_borrower import AHEAD_SECONDS, KEEP_SECONDS
from knapweeddrum.value.host_record import HostRecord
from tests.core.prepaid.claim_stream import ClaimStream

SYNC_SECONDS = 1.0
RETRY_DELAY_FRACTION = 0.3
TIME_LIMIT_SECONDS = 5.0
OWED_FRACTION = 0.97
"""A request is owed an answer if it fits into this fraction of the prepaid tokens."""
LATE_VALUE_FACTOR = 0.3
SIZE_FACTORS = (0.3, 0.5, 0.8, 1.0, 1.3, 2.1)
"""Multiples of the mean request size."""
DEMAND_FACTORS = (0.6, 0.8, 1.0, 1.0, 1.2, 1.5)
"""Multiples of its usual demand that an organisation may have in one simulation."""
MEAN_REQUESTS_PER_ARRIVAL = 3
"""Mean number of requests that arrive together."""
CALLERS_PER_ORGANISATION = 4
"""Callers of one organisation; each stays with one host for CALLER_STAY_SECONDS."""
CALLER_STAY_SECONDS = 6.0


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request, with its duration and the value of an answer."""

    per_second: float
    input_tokens: int
    output_tokens: int
    seconds: float
    value: float


REQUEST_KINDS = (
    RequestKind(17.2, 6_000, 51, 1.0, 3.7),
    RequestKind(13.7, 1_500, 24, 0.7, 1.8),
    RequestKind(23.1, 715, 279, 3.0, 0.39),
)


@dataclasses.dataclass(frozen=True, slots=True)
class OrganisationTraffic:
    """Traffic of one organisation; callers use the ``pinned`` host while it runs."""

    name: str
    traffic_fraction: float
    """Fraction of the whole traffic."""
    pinned: int | None = None


ORGANISATIONS = (
    OrganisationTraffic("large", 0.25),
    OrganisationTraffic("pinned-large", 0.2, pinned=2),
    OrganisationTraffic("middle-1", 0.1),
    OrganisationTraffic("middle-2", 0.1),
    OrganisationTraffic("middle-3", 0.09),
    OrganisationTraffic("pinned-middle", 0.08, pinned=4),
    OrganisationTraffic("small-1", 0.06),
    OrganisationTraffic("small-2", 0.05),
    OrganisationTraffic("small-3", 0.04),
    OrganisationTraffic("tiny", 0.03),
)


@dataclasses.dataclass(frozen=True, slots=True)
class StoreOutage:
    """Hosts that can't reach the store for a while; all hosts if none is named."""

    at: float
    seconds: float
    hosts: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class HostKill:
    """Hosts that lose their state and start again; all hosts if none is named."""

    at: float
    down_seconds: float
    hosts: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class HostFreeze:
    """A host that is suspended for a while."""

    at: float
    seconds: float
    host: int


@dataclasses.dataclass(frozen=True, slots=True)
class PrepaidIncrease:
    """The prepaid tokens of some organisations are raised."""

    at: float
    factor: float
    names: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TrafficBurst:
    """One organisation sends a multiple of its usual traffic."""

    at: float
    seconds: float
    factor: float
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """Traffic and faults of one simulation."""

    seconds: float = 34.0
    hosts: int = 7
    prepaid_seconds: float = 44.0
    """Duration of usual demand that the prepaid tokens cover."""
    outages: tuple[StoreOutage, ...] = ()
    kills: tuple[HostKill, ...] = ()
    freezes: tuple[HostFreeze, ...] = ()
    increases: tuple[PrepaidIncrease, ...] = ()
    bursts: tuple[TrafficBurst, ...] = ()


@dataclasses.dataclass(slots=True)
class Outcome:
    """What callers got for their owed requests, and which tokens were stranded."""

    owed: float = 0.0
    served: float = 0.0
    on_time: int = 0
    late: int = 0
    refused: int = 0
    """Owed requests that got no answer."""
    stranded: float = 0.0
    """Mean fraction of the prepaid tokens that killed hosts held and had not spent."""
    overspent: bool = False

    @property
    def share(self) -> float:
        """Return the value of the served requests relative to the owed ones."""
        return self.served / max(1.0, self.owed)


class Host:
    """One incarnation of a host: its accounts, and what it reaches."""

    def __init__(self, index: int, number: int, log: ClaimStream) -> None:
        self.index = index
        self.name = f"host-{index}-{number}"
        self.token_accounts = TokenAccounts(self.name)
        self.claim_witness = ClaimWitness(self.name)
        self.log = log
        self.token_owners = TokenOwners(str(index))
        self.reaches_store = True
        self.frozen = False
        self.alive = True

    @property
    def is_running(self) -> bool:
        return self.alive and not self.frozen

    def read(self) -> None:
        self.log.apply_to(self.token_accounts)

    def sync(
        self, waiting: dict[str, list[int]], now: float, fleet: Sequence[Host]
    ) -> None:
        """Write the planned claims, and the reduced claims of killed hosts."""
        if not (self.reaches_store and self.is_running):
            return
        self.read()
        others = [host.name for host in fleet if host is not self and host.is_running]
        owned = {
            name
            for name in self.token_accounts.prepaid_organisations()
            if self.owner(name, fleet) is self
        }
        claims = self.token_accounts.plan_claims(waiting, owned, now, others)
        present = {host.name for host in fleet if host.alive}
        for claim in self.token_accounts.ledger.locked_claims_of(self.name):
            if claim.incarnation not in present:
                rest = self.claim_witness.release(claim)
                claims += [rest] if rest else []
        if claims and self.log.append(claims, self.token_accounts.ledger.end):
            self.read()
            for name, tokens in waiting.items():
                self.unlock(name, sum(tokens), now, fleet)

    def owner(self, name: str, fleet: Sequence[Host]) -> Host:
        """Return the host that claims an organisation's tokens for all."""
        others = [host for host in fleet if host is not self and host.is_running]
        self.token_owners.set_hosts(host.record for host in others)
        before = self.token_owners.before_self(name)
        return fleet[int(before[0].name)] if before else self

    @property
    def record(self) -> HostRecord:
        return HostRecord(str(self.index), self.name, "", "", "", True, 0)

    def ahead(self, name: str, now: float) -> int:
        """Return the tokens to hold ahead of demand."""
        account = self.token_accounts.account(name, now)
        plenty = self.token_accounts.plenty(name, now)
        return int(account.demand_rate(now) * AHEAD_SECONDS * plenty)

    def surplus(self, name: str, now: float) -> int:
        """Return the free tokens to give back to the owner."""
        account = self.token_accounts.account(name, now)
        plenty = self.token_accounts.plenty(name, now)
        if account.free <= account.demand_rate(now) * KEEP_SECONDS * plenty:
            return 0
        return max(0, account.free - self.ahead(name, now))

    def unlock(self, name: str, tokens: int, now: float, fleet: Sequence[Host]) -> None:
        """Ask the witness to unlock enough for ``tokens`` to be free."""
        account = self.token_accounts.account(name, now)
        if account.free >= tokens or not self.token_accounts.may_unlock(name, now):
            return
        for witness in fleet:
            if witness.name == account.witness and witness.is_running:
                limit = min(account.claimed, account.next_unlocked_limit(tokens, now))
                if witness.claim_witness.unlock(self.name, name, limit):
                    self.token_accounts.record_consent(name, witness.name, limit, now)
                else:
                    self.token_accounts.record_refusal(name, witness.name, now)


@dataclasses.dataclass(slots=True)
class PrepaidBalance:
    """What one organisation paid, and what its requests have truly used."""

    prepaid: int
    spent: int = 0
    in_flight: int = 0


@dataclasses.dataclass(slots=True)
class SimulatedRequest:
    """One request of a caller; ``tokens`` is the sum of input and output."""

    organisation: OrganisationTraffic
    kind: RequestKind
    input_tokens: int
    tokens: int
    retries_left: int = 1


class FleetSimulation:
    """One run of a scenario; everything random comes from the seed."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.log = ClaimStream()
        self.outcome = Outcome()
        self.now = 0.0
        self._numbers = itertools.count()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self.hosts = [Host(index, 0, self.log) for index in range(scenario.hosts)]
        self._killed: list[Host] = []
        usual = sum(
            k.per_second * (k.input_tokens + k.output_tokens) for k in REQUEST_KINDS
        )
        self.balances = {
            c.name: PrepaidBalance(
                int(usual * c.traffic_fraction * scenario.prepaid_seconds)
            )
            for c in ORGANISATIONS
        }
        self._demand_factors = {
            c.name: self.rng.choice(DEMAND_FACTORS) for c in ORGANISATIONS
        }
        self._set_prepaid()

    def run(self) -> Outcome:
        """Run the scenario and return what callers got."""
        self._schedule_faults()
        for host in self.hosts:
            self._schedule(self.rng.uniform(0.0, SYNC_SECONDS) - 1.0, self._tick(host))
        for organisation in ORGANISATIONS:
            for kind in REQUEST_KINDS:
                self._schedule_arrival(organisation, kind)
        while self._queue:
            self.now, _, step = heapq.heappop(self._queue)
            if self.now > self.scenario.seconds:
                break
            step()
        self.hosts[0].read()
        self._measure_stranded()
        return self.outcome

    def _schedule(self, when: float, step: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (when, next(self._numbers), step))

    def _set_prepaid(self) -> None:
        prepaid = {name: balance.prepaid for name, balance in self.balances.items()}
        for host in self.hosts:
            host.token_accounts.set_prepaid(prepaid)

    def _schedule_faults(self) -> None:
        for outage in self.scenario.outages:
            for index in outage.hosts or range(self.scenario.hosts):
                self._schedule(outage.at, self._set_reaches_store(index, False))
                self._schedule(
                    outage.at + outage.seconds, self._set_reaches_store(index, True)
                )
        for kill in self.scenario.kills:
            for index in kill.hosts or range(self.scenario.hosts):
                self._schedule(kill.at, self._kill(index))
                self._schedule(kill.at + kill.down_seconds, self._start(index))
        for freeze in self.scenario.freezes:
            self._schedule(freeze.at, self._set_frozen(freeze.host, True))
            self._schedule(
                freeze.at + freeze.seconds, self._set_frozen(freeze.host, False)
            )
        for increase in self.scenario.increases:
            self._schedule(increase.at, self._increase_prepaid(increase))

    def _set_reaches_store(self, index: int, reaches_store: bool) -> Callable[[], None]:
        def step() -> None:
            self.hosts[index].reaches_store = reaches_store

        return step

    def _set_frozen(self, index: int, frozen: bool) -> Callable[[], None]:
        def step() -> None:
            self.hosts[index].frozen = frozen

        return step

    def _increase_prepaid(self, increase: PrepaidIncrease) -> Callable[[], None]:
        def step() -> None:
            for name in increase.names:
                balance = self.balances[name]
                balance.prepaid = int(balance.prepaid * increase.factor)
            self._set_prepaid()

        return step

    def _kill(self, index: int) -> Callable[[], None]:
        def step() -> None:
            self.hosts[index].alive = False
            self._killed.append(self.hosts[index])

        return step

    def _start(self, index: int) -> Callable[[], None]:
        def step() -> None:
            host = Host(index, next(self._numbers), self.log)
            host.reaches_store = self.hosts[index].reaches_store
            self.hosts[index] = host
            self._set_prepaid()
            host.read()
            self._tick(host)()

        return step

    def _tick(self, host: Host) -> Callable[[], None]:
        def step() -> None:
            if not host.alive:
                return
            now = max(0.0, self.now)
            self._sync(host, {})
            for name in host.token_accounts.organisations_to_unlock(now):
                host.unlock(name, 0, now, self.hosts)
            self._return_surplus(host, now)
            period = SYNC_SECONDS * self.rng.uniform(0.7, 1.3)
            self._schedule(self.now + period, step)

        return step

    def _schedule_arrival(
        self, organisation: OrganisationTraffic, kind: RequestKind
    ) -> None:
        rate = (
            kind.per_second
            * organisation.traffic_fraction
            * self._demand_factors[organisation.name]
        )
        for burst in self.scenario.bursts:
            if (
                burst.name == organisation.name
                and 0 <= self.now - burst.at < burst.seconds
            ):
                rate *= burst.factor
        pause = self.rng.expovariate(rate / MEAN_REQUESTS_PER_ARRIVAL)
        self._schedule(self.now + pause, self._arrive(organisation, kind))

    def _arrive(
        self, organisation: OrganisationTraffic, kind: RequestKind
    ) -> Callable[[], None]:
        def step() -> None:
            for _ in range(self.rng.randint(1, 2 * MEAN_REQUESTS_PER_ARRIVAL - 1)):
                size = self.rng.choice(SIZE_FACTORS)
                input_tokens = int(kind.input_tokens * size)
                tokens = input_tokens + int(kind.output_tokens * size)
                self._serve(SimulatedRequest(organisation, kind, input_tokens, tokens))
            self._schedule_arrival(organisation, kind)

        return step

    def _serve(self, req: SimulatedRequest) -> None:
        host = self._host_for(req.organisation)
        if host is not None and self._reserve(host, req.organisation.name, req.tokens):
            self._begin(host, req)
            return
        if req.retries_left:
            req.retries_left -= 1
            self._schedule(
                self.now + RETRY_DELAY_FRACTION * TIME_LIMIT_SECONDS,
                lambda: self._serve(req),
            )
            return
        if host is not None and self._is_owed(req):
            self.outcome.owed += req.kind.value
            self.outcome.refused += 1

    def _host_for(self, organisation: OrganisationTraffic) -> Host | None:
        running = [host for host in self.hosts if host.is_running]
        if (
            organisation.pinned is not None
            and self.hosts[organisation.pinned].is_running
        ):
            return self.hosts[organisation.pinned]
        caller = self.rng.randrange(CALLERS_PER_ORGANISATION)
        stay = int(self.now / CALLER_STAY_SECONDS)
        key = zlib.crc32(f"{organisation.name}/{caller}/{stay}".encode())
        return running[key % len(running)] if running else None

    def _is_owed(self, req: SimulatedRequest) -> bool:
        balance = self.balances[req.organisation.name]
        taken = balance.spent + balance.in_flight + req.tokens
        return taken <= OWED_FRACTION * balance.prepaid

    def _reserve(self, host: Host, name: str, tokens: int) -> bool:
        account = host.token_accounts.account(name, self.now)
        account.record_demand(tokens, self.now)
        if account.reserve(tokens):
            return True
        host.unlock(
            name, min(tokens, account.free + account.locked), self.now, self.hosts
        )
        if account.reserve(tokens):
            return True
        owner = host.owner(name, self.hosts)
        if owner is not host:
            self._borrow_from_owner(host, owner, name, tokens)
            if account.reserve(tokens):
                return True
        else:
            self._sync(host, {name: [tokens]})
            if account.reserve(tokens):
                return True
        for may_claim in (False, True):
            self._borrow(host, name, tokens, may_claim)
            if account.reserve(tokens):
                return True
        return False

    def _sync(self, host: Host, waiting: dict[str, list[int]]) -> None:
        host.sync(waiting, max(0.0, self.now), self.hosts)

    def _return_surplus(self, host: Host, now: float) -> None:
        for name in self.balances if host.is_running else ():
            owner = host.owner(name, self.hosts)
            surplus = host.surplus(name, now) if owner is not host else 0
            if surplus:
                given = host.token_accounts.account(name, now).lend(surplus, surplus)
                owner.token_accounts.account(name, now).credit_loan(given)

    def _borrow_from_owner(
        self, host: Host, owner: Host, name: str, tokens: int
    ) -> None:
        account = host.token_accounts.account(name, self.now)
        lending = owner.token_accounts.account(name, self.now)
        shortfall = tokens - account.free
        wanted = shortfall + host.ahead(name, self.now)
        owner.unlock(name, wanted, self.now, self.hosts)
        available = owner.token_accounts.max_reservable(name, self.now)
        if wanted > lending.free and available >= shortfall:
            self._sync(owner, {name: [min(wanted, available)]})
        if lending.free < shortfall:
            return
        loan = lending.lend(shortfall, wanted)
        lending.record_lent_demand(loan, tokens, self.now)
        account.credit_loan(loan)

    def _borrow(self, host: Host, name: str, tokens: int, may_claim: bool) -> None:
        account = host.token_accounts.account(name, self.now)
        for lender in self.hosts:
            shortfall = tokens - account.free
            if shortfall <= 0:
                return
            if lender is host or not lender.is_running:
                continue
            lending = lender.token_accounts.account(name, self.now)
            lender.unlock(name, shortfall, self.now, self.hosts)
            if may_claim and shortfall > lending.free:
                self._sync(lender, {name: [shortfall]})
            loan = lending.lend(
                shortfall, shortfall + int(account.demand_rate(self.now))
            )
            if loan:
                lending.record_lent_demand(loan, tokens, self.now)
            account.credit_loan(loan)

    def _begin(self, host: Host, req: SimulatedRequest) -> None:
        balance = self.balances[req.organisation.name]
        balance.in_flight += req.tokens
        self.outcome.owed += req.kind.value
        late = not req.retries_left
        self.outcome.served += req.kind.value * (LATE_VALUE_FACTOR if late else 1.0)
        self.outcome.late += late
        self.outcome.on_time += not late
        self._check_overspent(balance)

        def end() -> None:
            balance.in_flight -= req.tokens
            made = 1.0 if host.alive else 0.5
            output = req.tokens - req.input_tokens
            spent = req.input_tokens + int(output * made)
            balance.spent += spent
            if host.alive:
                account = host.token_accounts.account(req.organisation.name, self.now)
                account.settle(req.tokens, spent)

        self._schedule(self.now + req.kind.seconds, end)

    def _stranded_tokens(self, host: Host, name: str) -> int:
        """Return what a killed host had claimed and neither spent nor given up."""
        own = self.hosts[0].token_accounts.ledger.claim_of(name, host.name)
        account = host.token_accounts.account(name, self.now)
        return max(0, own.claimed - account.committed) if own else 0

    def _check_overspent(self, balance: PrepaidBalance) -> None:
        if balance.spent + balance.in_flight > balance.prepaid:
            self.outcome.overspent = True

    def _measure_stranded(self) -> None:
        stranded_fractions = []
        for name, balance in self.balances.items():
            held = 0
            for host in self._killed:
                held += self._stranded_tokens(host, name)
            stranded_fractions.append(held / balance.prepaid)
        self.outcome.stranded = sum(stranded_fractions) / len(stranded_fractions)
