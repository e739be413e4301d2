from __future__ import annotations

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from msgspec import structs
from nose2.tools import params

from knapweeddrum.core.budget.allowance_pool import AllowancePool
from knapweeddrum.core.budget.budget_ledger import BudgetLedger
from knapweeddrum.core.budget.grant_witness import GrantWitness
from knapweeddrum.core.budget.unlock_verdict import UnlockVerdict
from knapweeddrum.message.fact.deposit import Deposit
from knapweeddrum.message.fact.grant import Grant
from tests.core.budget.fleet_model import (
    BUDGET,
    GRANT_WINDOW_SECONDS,
    Fleet,
    FleetClasses,
    Keeper,
    Process,
)
from tests.core.violation_search import assert_violation_found

KEEPERS = st.integers(0, 2)
ROUTERS = st.integers(0, 1)
TOKENS = st.sampled_from([5, 5, 2, 10])
PICKS = st.integers(0, 1000)
LIMITS = st.sampled_from([2, 2, 5])
APPEND_COUNTS = st.sampled_from([1, 1, 1, 0, 2])
ARRIVALS = st.sampled_from(["now", "now", "now", "late", "lost"])
SEARCH_SETTINGS = settings(max_examples=400, stateful_step_count=40)
VIOLATION_SEARCH_SETTINGS = settings(
    max_examples=1500, stateful_step_count=40, phases=[Phase.generate]
)


class FleetMachine(RuleBasedStateMachine):
    """Any interleaving of grants, runs, kills, pauses, and lost or late replies."""

    classes = FleetClasses()

    def __init__(self) -> None:
        super().__init__()
        self.fleet = Fleet(self.classes)

    @initialize()
    def fund(self):
        self.top_up(keeper=0, topup=0, append_count=1)

    @rule(keeper=KEEPERS, topup=st.integers(0, 2), append_count=APPEND_COUNTS)
    def top_up(self, keeper, topup, append_count):
        fact = Deposit(topup_id=f"t{topup}", budget=BUDGET, tokens=10)
        self.fleet.write(self.fleet.keepers[keeper], fact, append_count=append_count)

    @rule(
        keeper=KEEPERS,
        router=ROUTERS,
        tokens=TOKENS,
        append_count=APPEND_COUNTS,
        arrival=ARRIVALS,
    )
    def supply(self, keeper, router, tokens, append_count, arrival):
        """Append a grant for a keeper and let a router draw tokens that it unlocks."""
        holder = self.fleet.keepers[keeper]
        fact = Grant(
            grant_id=self.fleet.unique("g"),
            budget=BUDGET,
            holder=holder.name,
            tokens=10,
            witness=self.fleet.keepers[(keeper + 1) % 3].name,
        )
        self.fleet.write(holder, fact, append_count=append_count)
        self.draw(router, keeper, tokens, arrival)

    @rule(router=ROUTERS, keeper=KEEPERS, tokens=TOKENS, arrival=ARRIVALS)
    def draw(self, router, keeper, tokens, arrival):
        receiver, sender = self.fleet.routers[router], self.fleet.keepers[keeper]
        self.fleet.read(sender)
        self.fleet.unlock(sender, tokens, arrival)
        self.fleet.transfer_slices(receiver, sender, tokens, arrival)

    @rule(receiver=KEEPERS, sender=KEEPERS, tokens=TOKENS, arrival=ARRIVALS)
    def transfer(self, receiver, sender, tokens, arrival):
        keepers = self.fleet.keepers
        self.fleet.transfer_slices(keepers[receiver], keepers[sender], tokens, arrival)

    @precondition(lambda self: self.fleet.delayed_replies)
    @rule(pick=PICKS)
    def deliver(self, pick):
        self.fleet.delayed_replies[pick % len(self.fleet.delayed_replies)]()

    @rule(router=ROUTERS, key=st.integers(0, 2), tokens=LIMITS)
    def start(self, router, key, tokens):
        self.fleet.start(self.fleet.routers[router], f"q{key}", tokens)
        self.generate(pick=-1, tokens=tokens)

    @rule(keeper=KEEPERS, router=ROUTERS, key=st.integers(0, 2), tokens=LIMITS)
    def serve(self, keeper, router, key, tokens):
        """Append a grant, draw from it and start a run, all without a failure."""
        self.supply(keeper, router, 10, append_count=1, arrival="now")
        self.start(router, key, tokens)

    @rule(pick=PICKS, router=ROUTERS)
    def resume(self, pick, router):
        """Add a second router as settler of a run, after the caller has reconnected."""
        process = self.fleet.routers[router]
        for run in self.fleet.pick_unsettled_run(pick):
            reservation = process.pool.reserve(BUDGET, run.limit)
            if reservation is not None:
                run.settlers.append((process, reservation))

    @rule(pick=PICKS, tokens=LIMITS)
    def generate(self, pick, tokens):
        for run in self.fleet.pick_unsettled_run(pick):
            generated = min(tokens, run.limit - run.used)
            run.used += generated
            self.fleet.consumed += generated

    @rule(
        pick=PICKS,
        writers=st.lists(KEEPERS, min_size=1, max_size=2),
        append_count=APPEND_COUNTS,
    )
    def settle(self, pick, writers, append_count):
        keepers = [self.fleet.keepers[number] for number in writers]
        for run in self.fleet.pick_unsettled_run(pick):
            self.fleet.settle(run, keepers, append_count)

    @rule(number=st.integers(0, 4), writer=KEEPERS, append_count=APPEND_COUNTS)
    def give_back(self, number, writer, append_count):
        process = (*self.fleet.keepers, *self.fleet.routers)[number]
        self.fleet.give_back(process, self.fleet.keepers[writer], append_count)

    @rule(keeper=KEEPERS, append_count=APPEND_COUNTS)
    def give_up(self, keeper, append_count):
        self.fleet.give_up(self.fleet.keepers[keeper], append_count)

    @rule(witness=KEEPERS, append_count=APPEND_COUNTS)
    def close(self, witness, append_count):
        """Close the grants of all holders, as if all of them had failed."""
        keeper = self.fleet.keepers[witness]
        closed = [
            keeper.witness.close(grant_id)
            for holder in self.fleet.keepers
            for grant_id in keeper.witness.grants_of(holder.name)
        ]
        self.fleet.write(keeper, *closed, append_count=append_count)

    @rule(number=st.integers(0, 9))
    def kill(self, number):
        if number > 4:
            return
        name = self.fleet.unique(f"p{number}/")
        if number < len(self.fleet.keepers):
            self.fleet.keepers[number] = Keeper(name, self.classes)
        else:
            self.fleet.routers[number - 3] = Process(name, self.classes)

    @precondition(lambda self: self.fleet.sent)
    @rule(pick=PICKS)
    def land_again(self, pick):
        self.fleet.append(self.fleet.sent[pick % len(self.fleet.sent)])

    @rule(
        seconds=st.sampled_from([GRANT_WINDOW_SECONDS / 2, 10 * GRANT_WINDOW_SECONDS])
    )
    def pause(self, seconds):
        self.fleet.time += seconds

    @invariant()
    def spend_stays_within_deposits(self):
        status = self.fleet.reference.ledger.status(BUDGET)
        assert self.fleet.consumed <= sum(self.fleet.paid.values())
        assert status.excess == 0

    @invariant()
    def no_spendable_token_is_in_the_balance(self):
        """Tokens that a process may still spend are never in the balance as well."""
        status = self.fleet.reference.ledger.status(BUDGET)
        spendable = self.fleet.spendable_tokens()
        assert self.fleet.consumed + spendable <= status.deposited - status.balance

    @invariant()
    def each_request_is_billed_once(self):
        status = self.fleet.reference.ledger.status(BUDGET)
        assert status.bills == len(self.fleet.billed_keys)
        assert status.billed + status.duplicate <= self.fleet.consumed


def check_fleet(classes: FleetClasses, search: settings = SEARCH_SETTINGS) -> None:
    machine = type("Machine", (FleetMachine,), {"classes": classes})
    run_state_machine_as_test(machine, settings=search)


def test_spend_and_bills_hold_under_any_interleaving():
    """Consumption never exceeds deposits, and no request is billed twice."""
    check_fleet(FleetClasses())


class LedgerWithGrantExpiry(BudgetLedger):
    """A faulty ledger that frees a grant's tokens after a fixed time."""

    def apply(self, fact, offset, time):
        if isinstance(fact, Grant):
            self.__dict__.setdefault("since", {})[fact.grant_id] = time
        return super().apply(fact, offset, time)

    def prune(self, time):
        super().prune(time)
        for grant_id, entry in list(self._grants.open_entries()):
            if time - self.since[grant_id] > GRANT_WINDOW_SECONDS:
                self._account(BUDGET).balance += entry.take(entry.remaining)
                self._close_if_empty(grant_id, entry, time)


class LedgerWithoutTopUpIds(BudgetLedger):
    """A faulty ledger that adds repeated deposits to the balance."""

    def _apply_deposit(self, fact, time):
        self._topups.clear()
        return super()._apply_deposit(fact, time)


class LedgerWithoutLockedReturns(BudgetLedger):
    """A faulty ledger that accepts returns of locked tokens after their release."""

    def _apply_return(self, fact, time):
        return super()._apply_return(structs.replace(fact, opened=True), time)


class LedgerWithoutBillKeys(BudgetLedger):
    """A faulty ledger that charges repeated bills."""

    def _apply_bill(self, fact, time):
        self._billed.clear()
        return super()._apply_bill(fact, time)


class PoolWithoutCreditIds(AllowancePool):
    """A faulty pool that credits repeated replies."""

    def credit(self, credit_id, allowances):
        self.forget(credit_id)
        return super().credit(credit_id, allowances)


class PoolWithoutDebit(AllowancePool):
    """A faulty pool that doesn't debit the tokens that it hands out."""

    def withdraw(self, budget, tokens):
        taken = super().withdraw(budget, tokens)
        for allowance in taken:
            self._add(allowance)
        return taken


class WitnessUnlockingClosedGrants(GrantWitness):
    """A faulty witness that unlocks closed grants again."""

    def unlock(self, grant_id, holder, limit):
        if grant_id in self._grants:
            self._grants[grant_id].closed = False
        return super().unlock(grant_id, holder, limit)


class WitnessWithoutUnlockedLimits(GrantWitness):
    """A faulty witness that records no limits and so releases whole grants."""

    def unlock(self, grant_id, holder, limit):
        return UnlockVerdict.ALLOWED


@params(
    FleetClasses(ledger=LedgerWithGrantExpiry),
    FleetClasses(ledger=LedgerWithoutBillKeys),
    FleetClasses(ledger=LedgerWithoutTopUpIds),
    FleetClasses(ledger=LedgerWithoutLockedReturns),
    FleetClasses(pool=PoolWithoutDebit),
    FleetClasses(pool=PoolWithoutCreditIds),
    FleetClasses(witness=WitnessUnlockingClosedGrants),
    FleetClasses(witness=WitnessWithoutUnlockedLimits),
)
def test_search_finds_the_fault_of_each_variant(classes):
    """The search finds a violation in each faulty variant."""
    assert_violation_found(lambda: check_fleet(classes, VIOLATION_SEARCH_SETTINGS))
