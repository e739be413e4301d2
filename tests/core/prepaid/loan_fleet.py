"""Hosts that lend each other prepaid tokens, with messages that get lost or late."""

from __future__ import annotations

import dataclasses
import functools
from collections.abc import Callable

from knapweeddrum.core.prepaid.loan_ledger import LoanLedger
from knapweeddrum.core.prepaid.token_account import TokenAccount
from knapweeddrum.core.prepaid.token_claim import TokenClaim
from knapweeddrum.message.call.token_loan import TokenLoanRequest, TokenReturn
from tests.core.prepaid.claim_stream import ClaimStream
from tests.core.prepaid.test_token_accounts import HOSTS, OWNED, Host

ORGANISATION = "mill"
PREPAID = 30_000
"""Prepaid tokens; enough to go on lending after some kills have stranded claims."""

Action = Callable[["LendingHost", int], object]
"""Something that happens at a host; the number chooses among the possible ones."""


@dataclasses.dataclass(frozen=True)
class LoanRules:
    """What hosts do; the variants break one rule each."""

    ledger_class: type[LoanLedger] = LoanLedger
    credits_returns_without_reply: bool = False
    """Whether a borrower takes back what it gave, if no reply came."""


@dataclasses.dataclass(slots=True)
class Tally:
    """What a borrower exchanged with one lender, as TokenBorrower keeps it."""

    number: int = 0
    received: int = 0
    returned: int = 0


@dataclasses.dataclass(slots=True)
class LoanExchange:
    """One loan on its way to its lender, or at the lender."""

    borrower: LendingHost
    lender: LendingHost
    req: TokenLoanRequest


@dataclasses.dataclass(slots=True)
class ReturnExchange:
    """One return on its way to a lender."""

    borrower: LendingHost
    address: int
    tally: Tally
    message: TokenReturn
    tokens: int


class LendingHost(Host):
    """A host that claims and spends, borrows as TokenBorrower and lends as TokenLender.

    A host of the version before lends without keeping a ledger, and its requests are
    not recovered.
    """

    def __init__(
        self, name: str, log: ClaimStream, rules: LoanRules, is_old: bool
    ) -> None:
        super().__init__(name, log)
        self.token_accounts.set_prepaid({ORGANISATION: PREPAID})
        self.name = name
        self.rules = rules
        self.is_old = is_old
        self.is_draining = False
        self.loans = rules.ledger_class()
        self.tallies: dict[str, Tally] = {}
        self.loan: LoanExchange | None = None
        """The loan that this host waits for; it has one at a time."""
        self.giving: ReturnExchange | None = None
        """The return whose reply this host waits for; it has one at a time."""

    @property
    def account(self) -> TokenAccount:
        return self.token_accounts.account(ORGANISATION, 0.0)

    @property
    def spendable(self) -> int:
        """Return what is spent or reserved here, or could be without any message."""
        return self.committed + max(0, self.account.free)

    def tally(self, lender: LendingHost) -> Tally:
        return self.tallies.setdefault(lender.name, Tally())

    def request_loan(self, lender: LendingHost, wanted: int) -> TokenLoanRequest:
        if self.is_old:
            return TokenLoanRequest(ORGANISATION, wanted // 2, wanted)
        tally = self.tally(lender)
        tally.number += 1
        return TokenLoanRequest(
            ORGANISATION,
            max(0, wanted // 2 - self.account.free),
            wanted,
            borrower=self.name,
            lender=lender.name,
            number=tally.number,
            received=tally.received,
            free=max(0, self.account.free),
        )

    def recovers_loans_of(self, req: TokenLoanRequest) -> bool:
        return not self.is_old and bool(req.borrower) and req.lender == self.name

    def begin_loan(self, req: TokenLoanRequest, now: float) -> bool:
        """Take back lost loans; return False if the request is out of date."""
        if not self.recovers_loans_of(req):
            return True
        lost = self.loans.begin(
            ORGANISATION, req.borrower, req.number, req.received, req.free, now
        )
        if lost is None:
            return False
        self.account.cancel_loan(lost)
        return True

    def debit_loan(self, req: TokenLoanRequest) -> int:
        """Debit a loan, some time after it began; return its tokens."""
        shortfall = max(1, req.shortfall)
        wanted = max(shortfall, req.wanted)
        if req.borrower and not self.is_old and self.account.free < shortfall:
            return 0
        tokens = self.account.lend(shortfall, wanted)
        if tokens and self.recovers_loans_of(req):
            self.loans.record_loan(ORGANISATION, req.borrower, tokens)
        return tokens

    def take_back(self, message: TokenReturn) -> bool | None:
        """Credit a return; None if this host does not know such messages."""
        if self.is_old:
            return None
        if self.is_draining or message.lender != self.name:
            return False
        self.account.credit_loan(
            self.loans.accept_return(ORGANISATION, message.sender, message.total)
        )
        return True


class LoanFleet:
    """Plays faults of hosts, of the store and of messages, one action at a time."""

    def __init__(self, rules: LoanRules) -> None:
        self.rules = rules
        self.log = ClaimStream()
        self.hosts = [
            LendingHost(f"host-{index}", self.log, rules, is_old=False)
            for index in range(HOSTS)
        ]
        self._reader = Host("reader", self.log)
        """Reads all claims and makes none."""
        self.committed_by_killed = 0
        self.now = 0.0
        self._late_writes: list[tuple[list[TokenClaim], int]] = []
        self._late_consents: list[Callable[[], None]] = []
        self._requests: list[LoanExchange] = []
        """Loans that were asked for and that the lender has not begun."""
        self._begun: list[LoanExchange] = []
        """Loans that wait at the lender, for a claim or a witness."""
        self._returns: list[ReturnExchange] = []
        """Returns that the lender has not handled."""
        faults: dict[str, Action] = {
            "write": functools.partial(self._claim, outcome="write"),
            "claim_late": functools.partial(self._claim, outcome="late"),
            "lose_claim_reply": functools.partial(self._claim, outcome="lose_reply"),
            "refuse_claim": functools.partial(self._claim, outcome="refuse"),
            "lower_claim": functools.partial(self._claim, outcome="write", owned=False),
            "write_late_claim": self._write_late_claim,
            "read": lambda host, tokens: host.read(),
            "reserve": lambda host, tokens: host.reserve(tokens, self.now),
            "settle": lambda host, tokens: host.settle(tokens / 3_000, self.now),
            "kill": self._kill,
            "kill_all": self._kill_all,
            "drain": self._drain,
            "unlock": self._unlock,
            "consent_late": self._consent_late,
            "release": self._release,
        }
        messages: dict[str, Action] = {
            "borrow": self._borrow,
            "ask": self._ask,
            "begin": self._begin,
            "debit": self._debit,
            "borrow_and_lose_reply": self._borrow_and_lose_reply,
            "give_up_loan": self._give_up_loan,
            "return": self._return,
            "send_return": self._send_return,
            "take_back": self._take_back,
            "give_up_return": self._give_up_return,
        }
        self.actions = faults | messages
        self.choices = [*faults, *messages, *messages, *messages]
        """Names of the actions, those on messages more often."""

    def step(self, action: str, index: int, tokens: int) -> None:
        """Play one action of one host, and check that no tokens were made."""
        self.now += 1.0
        self.actions[action](self.hosts[index], tokens)
        self._check()

    def finish(self) -> None:
        """Deliver what is under way, and let all hosts spend all they can."""
        while self._requests:
            self._begin(self.hosts[0], 0)
        while self._begun:
            self._debit(self.hosts[0], 0)
        while self._returns:
            self._take_back(self.hosts[0], 0)
        for host in self.hosts * 2:
            host.reserve_all(self.now)
            self._check()

    def _check(self) -> None:
        """Check that claims cover what is spent, or could be without any message."""
        self._reader.read()
        claimed = self._reader.token_accounts.ledger.claimed(ORGANISATION)
        spendable = sum(host.spendable for host in self.hosts)
        assert self.committed_by_killed + spendable <= claimed <= PREPAID

    def _others(self, host: LendingHost, tokens: int) -> list[LendingHost]:
        index = self.hosts.index(host)
        others = [self.hosts[(index + step) % HOSTS] for step in range(1, HOSTS)]
        return others[::-1] if tokens % 2 else others

    def _claim(
        self, host: LendingHost, tokens: int, outcome: str, owned: bool = True
    ) -> None:
        at = host.token_accounts.ledger.end
        names = [other.name for other in self._others(host, tokens)]
        claims = host.token_accounts.plan_claims(
            {ORGANISATION: [tokens]} if owned else {},
            OWNED if owned else frozenset(),
            self.now,
            names if tokens % 3 else (),
        )
        if outcome == "late":
            self._late_writes.append((claims, at))
        elif outcome == "refuse":
            host.token_accounts.record_not_written()
        elif self.log.append(claims, at) and outcome == "write":
            host.read()

    def _write_late_claim(self, host: LendingHost, tokens: int) -> None:
        if self._late_writes:
            self.log.append(*self._late_writes.pop(tokens % len(self._late_writes)))

    def _kill(self, host: LendingHost, tokens: int) -> None:
        """Start a killed host again, perhaps as the version before."""
        self.committed_by_killed += host.committed
        index = self.hosts.index(host)
        self.hosts[index] = LendingHost(
            f"host-{index}-{self.now}", self.log, self.rules, is_old=tokens % 4 == 0
        )

    def _kill_all(self, host: LendingHost, tokens: int) -> None:
        for killed in list(self.hosts) if tokens % 4 == 0 else ():
            self._kill(killed, tokens // 4)

    def _drain(self, host: LendingHost, tokens: int) -> None:
        """Reject returns from now on, and give up what isn't committed."""
        host.is_draining = True
        if tokens % 2:
            at = host.token_accounts.ledger.end
            if self.log.append(host.token_accounts.plan_return(self.now), at):
                host.read()

    def _unlock(self, host: LendingHost, tokens: int) -> None:
        others: list[Host] = [*self._others(host, 0)]
        host.request_consent(others, tokens, self.now)()

    def _consent_late(self, host: LendingHost, tokens: int) -> None:
        if tokens % 2 and self._late_consents:
            self._late_consents.pop()()
            return
        others: list[Host] = [*self._others(host, 0)]
        self._late_consents.append(host.request_consent(others, tokens, self.now))

    def _release(self, host: LendingHost, tokens: int) -> None:
        """Release claims as their witness, though the holders are alive."""
        host.read()
        self.log.append(host.release_claims(), host.token_accounts.ledger.end)

    def _ask(self, host: LendingHost, tokens: int) -> None:
        if host.loan is not None:
            return
        lender = self._others(host, tokens)[0]
        host.loan = LoanExchange(host, lender, host.request_loan(lender, tokens))
        self._requests.append(host.loan)

    def _begin(self, host: LendingHost, tokens: int) -> None:
        if self._requests:
            self._begin_loan(self._requests.pop(tokens % len(self._requests)))

    def _begin_loan(self, loan: LoanExchange) -> None:
        """Begin a loan, at the process that has the lender's address by now."""
        loan.lender = self._at_address_of(loan.lender)
        if loan.lender.begin_loan(loan.req, self.now):
            self._begun.append(loan)

    def _debit(self, host: LendingHost, tokens: int) -> None:
        if self._begun:
            self._debit_loan(self._begun.pop(tokens % len(self._begun)))

    def _debit_loan(self, loan: LoanExchange) -> None:
        """Debit a loan; its reply arrives if the borrower still waits for it."""
        if loan.lender not in self.hosts:
            return
        tokens = loan.lender.debit_loan(loan.req)
        if loan.borrower.loan is not loan:
            return
        loan.borrower.loan = None
        if not loan.borrower.is_old:
            loan.borrower.tallies[loan.req.lender].received += tokens
        loan.borrower.account.credit_loan(tokens)

    def _borrow(
        self, host: LendingHost, tokens: int, reply_arrives: bool = True
    ) -> None:
        """Borrow at once, after giving up the loan under way."""
        host.loan = None
        self._ask(host, tokens)
        if not reply_arrives:
            host.loan = None
        loan = self._requests.pop()
        self._begin_loan(loan)
        if self._begun and self._begun[-1] is loan:
            self._debit_loan(self._begun.pop())

    def _borrow_and_lose_reply(self, host: LendingHost, tokens: int) -> None:
        self._borrow(host, tokens, reply_arrives=False)

    def _give_up_loan(self, host: LendingHost, tokens: int) -> None:
        host.loan = None

    def _send_return(self, host: LendingHost, tokens: int) -> None:
        if host.giving is not None or host.is_old:
            return
        lender = self._others(host, tokens)[0]
        if lender.is_old:
            return
        given = host.account.lend(tokens, tokens)
        tally = host.tally(lender)
        tally.returned += given
        message = TokenReturn(ORGANISATION, tally.returned, host.name, lender.name)
        host.giving = ReturnExchange(
            host, self.hosts.index(lender), tally, message, given
        )
        self._returns.append(host.giving)

    def _take_back(self, host: LendingHost, tokens: int) -> None:
        """Deliver a return; its reply arrives if its sender still waits for it."""
        if not self._returns:
            return
        given = self._returns.pop(tokens % len(self._returns))
        is_accepted = self.hosts[given.address].take_back(given.message)
        if given.borrower.giving is not given:
            return
        given.borrower.giving = None
        if is_accepted is False:
            given.tally.returned -= given.tokens
            given.borrower.account.cancel_loan(given.tokens)

    def _return(self, host: LendingHost, tokens: int) -> None:
        """Give tokens back without a fault."""
        self._give_up_return(host, tokens)
        self._send_return(host, tokens)
        if host.giving is not None:
            self._take_back(host, len(self._returns) - 1)

    def _give_up_return(self, host: LendingHost, tokens: int) -> None:
        given, host.giving = host.giving, None
        if given is not None and host.rules.credits_returns_without_reply:
            given.tally.returned -= given.tokens
            host.account.cancel_loan(given.tokens)

    def _at_address_of(self, host: LendingHost) -> LendingHost:
        if host in self.hosts:
            return host
        index = int(host.name.split("-")[1])
        return self.hosts[index]
