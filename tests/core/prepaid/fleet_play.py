"""Plays a fleet of hosts that spend prepaid tokens, without a network.

Times are seconds of the play. Hosts, claims and loans are those of the product; the
store, the callers and the faults are stand-ins. The wire takes no time.
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
from tests.core.prepaid.claim_stream import ClaimStream

SYNC_SECONDS = 1.0
RETRY_SHARE = 0.3
TIME_LIMIT_SECONDS = 5.0
FITS_FRACTION = 0.97
"""Part of the prepaid tokens into which a request must fit to be owed an answer."""
LATE_WORTH = 0.3
SIZES = (0.3, 0.5, 0.8, 1.0, 1.3, 2.1)
"""Multiples of the mean size that requests have."""
USES = (0.6, 0.8, 1.0, 1.0, 1.2, 1.5)
"""Multiples of their usual demand that organisations have on one day."""
CLUMP = 3
"""Requests that come at once, on average."""
CALLERS = 4
"""Callers of one organisation and kind; each stays with one host for a while."""
STAY_SECONDS = 6.0


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """One kind of request."""

    per_second: float
    input_tokens: int
    output_tokens: int
    seconds: float
    worth: float


KINDS = (
    Kind(17.2, 6_000, 51, 1.0, 3.7),
    Kind(13.7, 1_500, 24, 0.7, 1.8),
    Kind(23.1, 715, 279, 3.0, 0.39),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Customer:
    """One organisation; ``pinned`` is the only host that its callers use."""

    name: str
    part: float
    """Part of the traffic that is its own."""
    pinned: int | None = None


CUSTOMERS = (
    Customer("large", 0.25),
    Customer("pinned-large", 0.2, pinned=2),
    Customer("middle-1", 0.1),
    Customer("middle-2", 0.1),
    Customer("middle-3", 0.09),
    Customer("pinned-middle", 0.08, pinned=4),
    Customer("small-1", 0.06),
    Customer("small-2", 0.05),
    Customer("small-3", 0.04),
    Customer("tiny", 0.03),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """Hosts that do not reach the store for a while; all if none is named."""

    at: float
    seconds: float
    hosts: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Kill:
    """Hosts that lose their state and start anew; all if none is named."""

    at: float
    down_seconds: float
    hosts: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Freeze:
    """A host that does nothing for a while."""

    at: float
    seconds: float
    host: int


@dataclasses.dataclass(frozen=True, slots=True)
class Raise:
    """Prepaid tokens are raised for some organisations."""

    at: float
    factor: float
    names: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Burst:
    """One organisation sends several times its usual."""

    at: float
    seconds: float
    factor: float
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Day:
    """Traffic and faults of one play."""

    seconds: float = 34.0
    hosts: int = 7
    prepaid_seconds: float = 44.0
    """Usual demand that the prepaid tokens cover."""
    cuts: tuple[Cut, ...] = ()
    kills: tuple[Kill, ...] = ()
    freezes: tuple[Freeze, ...] = ()
    raises: tuple[Raise, ...] = ()
    bursts: tuple[Burst, ...] = ()


@dataclasses.dataclass(slots=True)
class Outcome:
    """What callers got for their owed requests, and what was left of the tokens."""

    owed: float = 0.0
    served: float = 0.0
    on_time: int = 0
    late: int = 0
    refused: int = 0
    """Owed requests that got no answer."""
    stranded: float = 0.0
    """Mean part of the prepaid tokens that dead hosts held and had not spent."""
    overspent: bool = False

    @property
    def share(self) -> float:
        """Return the worth of what was served, to what was owed."""
        return self.served / max(1.0, self.owed)


class Host:
    """One host: an incarnation's book, and what it reaches."""

    def __init__(self, index: int, number: int, log: ClaimStream) -> None:
        self.index = index
        self.name = f"host-{index}-{number}"
        self.token_accounts = TokenAccounts(self.name)
        self.claim_witness = ClaimWitness(self.name)
        self.log = log
        self.in_touch = True
        self.frozen = False
        self.alive = True

    @property
    def runs(self) -> bool:
        return self.alive and not self.frozen

    def read(self) -> None:
        self.log.fold_into(self.token_accounts)

    def sync(
        self, waiting: dict[str, list[int]], now: float, fleet: Sequence[Host]
    ) -> None:
        """Write the claims that the plan wants, and free those of hosts that died."""
        if not (self.in_touch and self.runs):
            return
        self.read()
        others = [host.name for host in fleet if host is not self and host.runs]
        claims = self.token_accounts.plan_claims(waiting, len(fleet), now, others)
        present = {host.name for host in fleet if host.alive}
        for claim in self.token_accounts.ledger.locked_claims_of(self.name):
            if claim.incarnation not in present:
                rest = self.claim_witness.release(claim)
                claims += [rest] if rest else []
        if claims and self.log.append(claims, self.token_accounts.ledger.end):
            self.read()

    def unlock(self, name: str, tokens: int, now: float, fleet: Sequence[Host]) -> None:
        """Ask the witness to open what it takes for tokens to be free."""
        account = self.token_accounts.account(name, now)
        if account.free >= tokens or not self.token_accounts.may_unlock(name, now):
            return
        for witness in fleet:
            if witness.name == account.witness and witness.runs:
                limit = min(account.claimed, account.next_unlocked_limit(tokens, now))
                if witness.claim_witness.unlock(self.name, name, limit):
                    self.token_accounts.record_consent(name, witness.name, limit, now)
                else:
                    self.token_accounts.record_refusal(name, witness.name, now)


@dataclasses.dataclass(slots=True)
class Purse:
    """What one organisation paid, and what its requests have truly taken."""

    prepaid: int
    spent: int = 0
    in_flight: int = 0


@dataclasses.dataclass(slots=True)
class Ask:
    """One request of a caller."""

    customer: Customer
    kind: Kind
    input_tokens: int
    tokens: int
    retries_left: int = 1


class FleetPlay:
    """One play of a day; everything random comes from the seed."""

    def __init__(self, day: Day, seed: int) -> None:
        self.day = day
        self.rng = random.Random(seed)
        self.log = ClaimStream()
        self.outcome = Outcome()
        self.now = 0.0
        self._numbers = itertools.count()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self.hosts = [Host(index, 0, self.log) for index in range(day.hosts)]
        self._dead: list[Host] = []
        usual = sum(k.per_second * (k.input_tokens + k.output_tokens) for k in KINDS)
        self.purses = {
            c.name: Purse(int(usual * c.part * day.prepaid_seconds)) for c in CUSTOMERS
        }
        self._uses = {c.name: self.rng.choice(USES) for c in CUSTOMERS}
        self._set_prepaid()

    def run(self) -> Outcome:
        """Play the day and return what callers got."""
        self._schedule_faults()
        for host in self.hosts:
            self._at(self.rng.uniform(0.0, SYNC_SECONDS) - 1.0, self._tick(host))
        for customer in CUSTOMERS:
            for kind in KINDS:
                self._arrive_next(customer, kind)
        while self._queue:
            self.now, _, step = heapq.heappop(self._queue)
            if self.now > self.day.seconds:
                break
            step()
        self.hosts[0].read()
        self._measure_stranded()
        return self.outcome

    def _at(self, when: float, step: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (when, next(self._numbers), step))

    def _set_prepaid(self) -> None:
        prepaid = {name: purse.prepaid for name, purse in self.purses.items()}
        for host in self.hosts:
            host.token_accounts.set_prepaid(prepaid)

    def _schedule_faults(self) -> None:
        for cut in self.day.cuts:
            for index in cut.hosts or range(self.day.hosts):
                self._at(cut.at, self._set_touch(index, False))
                self._at(cut.at + cut.seconds, self._set_touch(index, True))
        for kill in self.day.kills:
            for index in kill.hosts or range(self.day.hosts):
                self._at(kill.at, self._kill(index))
                self._at(kill.at + kill.down_seconds, self._start(index))
        for freeze in self.day.freezes:
            self._at(freeze.at, self._set_frozen(freeze.host, True))
            self._at(freeze.at + freeze.seconds, self._set_frozen(freeze.host, False))
        for raised in self.day.raises:
            self._at(raised.at, self._raise(raised))

    def _set_touch(self, index: int, in_touch: bool) -> Callable[[], None]:
        def step() -> None:
            self.hosts[index].in_touch = in_touch

        return step

    def _set_frozen(self, index: int, frozen: bool) -> Callable[[], None]:
        def step() -> None:
            self.hosts[index].frozen = frozen

        return step

    def _raise(self, raised: Raise) -> Callable[[], None]:
        def step() -> None:
            for name in raised.names:
                purse = self.purses[name]
                purse.prepaid = int(purse.prepaid * raised.factor)
            self._set_prepaid()

        return step

    def _kill(self, index: int) -> Callable[[], None]:
        def step() -> None:
            self.hosts[index].alive = False
            self._dead.append(self.hosts[index])

        return step

    def _start(self, index: int) -> Callable[[], None]:
        def step() -> None:
            host = Host(index, next(self._numbers), self.log)
            host.in_touch = self.hosts[index].in_touch
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
            period = SYNC_SECONDS * self.rng.uniform(0.7, 1.3)
            self._at(self.now + period, step)

        return step

    def _arrive_next(self, customer: Customer, kind: Kind) -> None:
        rate = kind.per_second * customer.part * self._uses[customer.name]
        for burst in self.day.bursts:
            if burst.name == customer.name and 0 <= self.now - burst.at < burst.seconds:
                rate *= burst.factor
        pause = self.rng.expovariate(rate / CLUMP)
        self._at(self.now + pause, self._arrive(customer, kind))

    def _arrive(self, customer: Customer, kind: Kind) -> Callable[[], None]:
        def step() -> None:
            for _ in range(self.rng.randint(1, 2 * CLUMP - 1)):
                size = self.rng.choice(SIZES)
                input_tokens = int(kind.input_tokens * size)
                tokens = input_tokens + int(kind.output_tokens * size)
                self._serve(Ask(customer, kind, input_tokens, tokens))
            self._arrive_next(customer, kind)

        return step

    def _serve(self, ask: Ask) -> None:
        host = self._host_for(ask.customer)
        if host is not None and self._reserve(host, ask.customer.name, ask.tokens):
            self._begin(host, ask)
            return
        if ask.retries_left:
            ask.retries_left -= 1
            self._at(
                self.now + RETRY_SHARE * TIME_LIMIT_SECONDS, lambda: self._serve(ask)
            )
            return
        if host is not None and self._is_owed(ask):
            self.outcome.owed += ask.kind.worth
            self.outcome.refused += 1

    def _host_for(self, customer: Customer) -> Host | None:
        running = [host for host in self.hosts if host.runs]
        if customer.pinned is not None and self.hosts[customer.pinned].runs:
            return self.hosts[customer.pinned]
        caller = self.rng.randrange(CALLERS)
        stay = int(self.now / STAY_SECONDS)
        key = zlib.crc32(f"{customer.name}/{caller}/{stay}".encode())
        return running[key % len(running)] if running else None

    def _is_owed(self, ask: Ask) -> bool:
        purse = self.purses[ask.customer.name]
        taken = purse.spent + purse.in_flight + ask.tokens
        return taken <= FITS_FRACTION * purse.prepaid

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

    def _borrow(self, host: Host, name: str, tokens: int, may_claim: bool) -> None:
        account = host.token_accounts.account(name, self.now)
        for lender in self.hosts:
            shortfall = tokens - account.free
            if shortfall <= 0:
                return
            if lender is host or not lender.runs:
                continue
            lending = lender.token_accounts.account(name, self.now)
            lender.unlock(name, shortfall, self.now, self.hosts)
            if may_claim and shortfall > lending.free:
                self._sync(lender, {name: [shortfall]})
            loan = lending.lend(
                shortfall, shortfall + int(account.demand_rate(self.now))
            )
            if loan:
                lending.record_demand(loan, self.now)
            account.credit_loan(loan)

    def _begin(self, host: Host, ask: Ask) -> None:
        purse = self.purses[ask.customer.name]
        purse.in_flight += ask.tokens
        self.outcome.owed += ask.kind.worth
        late = not ask.retries_left
        self.outcome.served += ask.kind.worth * (LATE_WORTH if late else 1.0)
        self.outcome.late += late
        self.outcome.on_time += not late
        self._check(purse)

        def end() -> None:
            purse.in_flight -= ask.tokens
            made = 1.0 if host.alive else 0.5
            output = ask.tokens - ask.input_tokens
            spent = ask.input_tokens + int(output * made)
            purse.spent += spent
            if host.alive:
                account = host.token_accounts.account(ask.customer.name, self.now)
                account.settle(ask.tokens, spent)

        self._at(self.now + ask.kind.seconds, end)

    def _held(self, host: Host, name: str) -> int:
        """Return what a dead host had claimed and neither spent nor given back."""
        own = self.hosts[0].token_accounts.ledger.claim_of(name, host.name)
        account = host.token_accounts.account(name, self.now)
        return max(0, own.claimed - account.committed) if own else 0

    def _check(self, purse: Purse) -> None:
        if purse.spent + purse.in_flight > purse.prepaid:
            self.outcome.overspent = True

    def _measure_stranded(self) -> None:
        parts = []
        for name, purse in self.purses.items():
            held = 0
            for host in self._dead:
                held += self._held(host, name)
            parts.append(held / purse.prepaid)
        self.outcome.stranded = sum(parts) / len(parts)
