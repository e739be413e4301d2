"""The ledger of prepaid budgets, rebuilt from a budget stream."""

from __future__ import annotations

from collections.abc import Container, Iterator

from knapweeddrum.core.budget.account import Account
from knapweeddrum.core.budget.billed_request import BilledRequest
from knapweeddrum.core.budget.budget_state import TopUpState
from knapweeddrum.core.budget.budget_state_codec import BudgetStateCodec
from knapweeddrum.core.budget.budget_windows import BudgetWindows
from knapweeddrum.core.budget.grant_entry import GrantEntry
from knapweeddrum.core.budget.grant_table import GrantTable
from knapweeddrum.core.budget.held_grant import HeldGrant
from knapweeddrum.core.replay.expiry import pop_expired
from knapweeddrum.core.replay.fact_outcome import FactOutcome
from knapweeddrum.core.replay.ledger import Ledger
from knapweeddrum.core.replay.ledger_outcome import LedgerOutcome
from knapweeddrum.message.call.budget_status import BudgetStatus
from knapweeddrum.message.fact.any_fact import AnyFact
from knapweeddrum.message.fact.bill import Bill
from knapweeddrum.message.fact.deposit import Deposit
from knapweeddrum.message.fact.grant import Grant
from knapweeddrum.message.fact.grant_release import GrantRelease
from knapweeddrum.message.fact.grant_return import GrantReturn

_REJECTED = LedgerOutcome(FactOutcome.REJECTED)
_REPEATED = LedgerOutcome(FactOutcome.REPEATED)


class BudgetLedger(Ledger):
    """Prepaid budgets: deposits, grants, returns, releases and bills.

    For each budget, deposited = balance + held + billed + duplicate, all in tokens:
    ``balance`` can be granted, ``held`` is in open grants, ``billed`` was consumed by
    the first run of each request and ``duplicate`` by further runs.

    Tokens leave a grant only by a bill, a return, or a release by its witness (another
    keeper, which releases the locked tokens of a failed holder), never because time
    has passed.
    """

    def __init__(self, windows: BudgetWindows | None = None) -> None:
        self._windows = windows or BudgetWindows()
        self._accounts: dict[str, Account] = {}
        self._grants = GrantTable()
        self._topups: dict[str, TopUpState] = {}
        self._billed: dict[bytes, BilledRequest] = {}

    def apply(self, fact: AnyFact, offset: int, time: float) -> LedgerOutcome | None:
        """Apply one fact and return the verdict; None for facts of other ledgers."""
        match fact:
            case Bill():
                return self._apply_bill(fact, time)
            case Grant():
                return self._apply_grant(fact)
            case GrantReturn():
                return self._apply_return(fact, time)
            case GrantRelease():
                return self._apply_release(fact, time)
            case Deposit():
                return self._apply_deposit(fact, time)
        return None

    def prune(self, time: float) -> None:
        """Forget identifiers that the windows no longer cover at ``time`` (s)."""
        pop_expired(self._topups, _topup_time, time - self._windows.topup)
        pop_expired(self._billed, _billed_time, time - self._windows.bill)
        self._grants.prune(time - self._windows.grant)

    def dump(self) -> bytes:
        """Return the encoded state; equal states give equal bytes."""
        return BudgetStateCodec.encode(
            self._accounts, self._grants, self._topups, self._billed
        )

    def load(self, state: bytes) -> None:
        """Replace the state by an encoded one.

        Raises StateError if ``state`` can't be decoded.
        """
        decoded = BudgetStateCodec.decode(state)
        self._accounts = BudgetStateCodec.accounts(decoded)
        self._grants = BudgetStateCodec.grants(decoded)
        self._topups = {entry.topup_id: entry for entry in decoded.topups}
        self._billed = BudgetStateCodec.billed(decoded)
        for grant_id, entry in self._grants.open_entries():
            self._accounts[entry.budget].add_grant(grant_id, entry)

    def budgets(self) -> tuple[str, ...]:
        """Return the names of all known budgets, sorted."""
        return tuple(sorted(self._accounts))

    def balance(self, budget: str) -> int:
        """Return the tokens of a budget that can still be granted."""
        account = self._accounts.get(budget)
        return account.balance if account else 0

    def status(self, budget: str, live: Container[str] | None = None) -> BudgetStatus:
        """Return the state of a budget; zeros for one without any deposit.

        ``live`` names the running holders; tokens held by others are stranded. If it
        is None, no tokens are reported as stranded.
        """
        account = self._accounts.get(budget) or Account()
        stranded = 0
        if live is not None:
            entries = (account.grants or {}).values()
            stranded = sum(e.remaining for e in entries if e.holder not in live)
        return BudgetStatus(
            budget=budget,
            deposited=account.deposited,
            balance=account.balance,
            held=account.held,
            stranded=stranded,
            billed=account.billed,
            duplicate=account.duplicate,
            bills=account.bills,
            excess=account.excess,
        )

    def grants_of(self, holder: str) -> tuple[HeldGrant, ...]:
        """Return the open grants of a holder, sorted by identifier."""
        return self._grants.open_grants_of(holder)

    def open_grants(self) -> tuple[HeldGrant, ...]:
        """Return all open grants, sorted by identifier."""
        return self._grants.open_grants()

    def remaining(self, grant_id: str) -> int:
        """Return the tokens left in a grant; 0 for an unknown grant."""
        entry = self._grants.get(grant_id)
        return entry.remaining if entry else 0

    def _account(self, budget: str) -> Account:
        return self._accounts.setdefault(budget, Account())

    def _apply_deposit(self, fact: Deposit, time: float) -> LedgerOutcome:
        if fact.tokens <= 0:
            return _REJECTED
        known = self._topups.get(fact.topup_id)
        if known and (known.budget, known.tokens) != (fact.budget, fact.tokens):
            return LedgerOutcome(FactOutcome.MISMATCH)
        if known:
            return _REPEATED
        self._topups[fact.topup_id] = TopUpState(
            time=time, topup_id=fact.topup_id, budget=fact.budget, tokens=fact.tokens
        )
        account = self._account(fact.budget)
        account.deposited += fact.tokens
        account.balance += fact.tokens
        return LedgerOutcome(FactOutcome.ACCEPTED, tokens=fact.tokens)

    def _apply_grant(self, fact: Grant) -> LedgerOutcome:
        if self._grants.get(fact.grant_id):
            return _REPEATED
        account = self._accounts.get(fact.budget)
        if account is None or fact.tokens <= 0 or account.balance == 0:
            return _REJECTED
        tokens = min(fact.tokens, account.balance)
        account.balance -= tokens
        entry = GrantEntry(
            budget=fact.budget,
            holder=fact.holder,
            witness=fact.witness,
            granted=tokens,
            remaining=tokens,
        )
        self._grants.add(fact.grant_id, entry)
        account.add_grant(fact.grant_id, entry)
        return _taken(tokens, fact.tokens)

    def _apply_return(self, fact: GrantReturn, time: float) -> LedgerOutcome:
        entry = self._entry(fact.grant_id, fact.budget)
        if entry is None or fact.tokens <= 0:
            return _REJECTED
        if entry.has_return(fact.return_id):
            return _REPEATED
        if entry.released and not fact.opened:
            # ``opened`` is false for tokens that were never unlocked; the release freed
            # all of those.
            return _REJECTED
        entry.record_return(fact.return_id)
        tokens = entry.take(fact.tokens)
        if not fact.opened:
            entry.locked_returned += tokens
        self._account(fact.budget).balance += tokens
        self._close_if_empty(fact.grant_id, entry, time)
        return _taken(tokens, fact.tokens)

    def _apply_release(self, fact: GrantRelease, time: float) -> LedgerOutcome:
        entry = self._entry(fact.grant_id, fact.budget)
        if entry is None or not entry.witness or entry.witness != fact.witness:
            return _REJECTED
        if entry.released:
            return _REPEATED
        if fact.opened < 0:
            return _REJECTED
        entry.released = True
        locked = entry.granted - entry.locked_returned - fact.opened
        tokens = entry.take(max(0, locked))
        self._account(fact.budget).balance += tokens
        self._close_if_empty(fact.grant_id, entry, time)
        return LedgerOutcome(FactOutcome.ACCEPTED, tokens=tokens)

    def _apply_bill(self, fact: Bill, time: float) -> LedgerOutcome:
        negative = any(charge.tokens < 0 for charge in fact.charges)
        if negative or fact.abandoned < 0 or fact.run_tokens < 0:
            return _REJECTED
        key = BilledRequest.digest(fact.request_key)
        billed = self._billed.get(key) or BilledRequest(time)
        if billed.has_bill(fact):
            return _REPEATED
        known_tokens = billed.highest_run_tokens(fact)
        billed.record(fact, time)
        # Removed and added again to keep the requests in the order of their times.
        self._billed.pop(key, None)
        self._billed[key] = billed
        # All bills of one run report the cumulative tokens of one execution, so only
        # what exceeds the highest known report is due. The rest of the charges goes
        # back to the balance.
        due = max(0, fact.run_tokens - known_tokens) + fact.abandoned
        return self._charge(fact, due, billed, time)

    def _charge(
        self, fact: Bill, due: int, billed: BilledRequest, time: float
    ) -> LedgerOutcome:
        account = self._account(fact.budget)
        taken = sum(self._take(fact, time))
        charged = min(taken, due)
        account.excess += due - charged
        account.balance += taken - charged
        if billed.bill_count == 1:
            account.bills += 1
        if not billed.is_billed_run(fact):
            account.duplicate += charged
            return LedgerOutcome(FactOutcome.DUPLICATE_RUN, tokens=charged)
        account.billed += charged
        return _taken(charged, due)

    def _take(self, fact: Bill, time: float) -> Iterator[int]:
        for charge in fact.charges:
            entry = self._entry(charge.grant_id, fact.budget)
            if entry is None:
                continue
            yield entry.take(charge.tokens)
            self._close_if_empty(charge.grant_id, entry, time)

    def _entry(self, grant_id: str, budget: str) -> GrantEntry | None:
        entry = self._grants.get(grant_id)
        if entry is None or entry.budget != budget or self._grants.is_closed(grant_id):
            return None
        return entry

    def _close_if_empty(self, grant_id: str, entry: GrantEntry, time: float) -> None:
        if entry.remaining:
            return
        self._grants.close(grant_id, time)
        self._account(entry.budget).remove_grant(grant_id)


def _topup_time(entry: TopUpState) -> float:
    return entry.time


def _billed_time(entry: BilledRequest) -> float:
    return entry.time


def _taken(tokens: int, wanted: int) -> LedgerOutcome:
    outcome = FactOutcome.ACCEPTED if tokens == wanted else FactOutcome.PARTIAL
    return LedgerOutcome(outcome, tokens=tokens)
