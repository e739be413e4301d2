from __future__ import annotations

from knapweeddrum.core.budget.budget_ledger import BudgetLedger
from knapweeddrum.core.replay.fact_outcome import FactOutcome
from knapweeddrum.message.fact.bill import Bill
from knapweeddrum.message.fact.charge import Charge
from knapweeddrum.message.fact.deposit import Deposit
from knapweeddrum.message.fact.grant import Grant
from knapweeddrum.message.fact.grant_release import GrantRelease
from knapweeddrum.message.fact.grant_return import GrantReturn
from tests.core.records import RecordWriter

BUDGET = "mill/main"


def funded(tokens: int = 100, grant: int = 60) -> tuple[BudgetLedger, RecordWriter]:
    """Return a ledger with one deposit and one witnessed grant."""
    ledger = BudgetLedger()
    log = RecordWriter(ledger)
    log.append(Deposit(topup_id="t1", budget=BUDGET, tokens=tokens))
    log.append(
        Grant(grant_id="g1", budget=BUDGET, holder="h1", tokens=grant, witness="w1")
    )
    return ledger, log


def bill(run_id: str, tokens: int, **fields) -> Bill:
    """Return a bill of request ``r`` on grant ``g1``."""
    return Bill(
        request_key="r",
        run_id=run_id,
        budget=BUDGET,
        grant_id="g1",
        tokens=tokens,
        outcome="finished",
        **fields,
    )


def test_grant_is_cut_to_the_balance():
    """A grant above the balance gets the balance, and the next gets nothing."""
    ledger, log = funded(tokens=100, grant=250)
    (verdict,) = log.append(Grant(grant_id="g2", budget=BUDGET, holder="h2", tokens=1))
    assert ledger.remaining("g1") == 100
    assert verdict.outcome is FactOutcome.REJECTED


def test_repeated_deposit_counts_once():
    """A top-up identifier counts once, and never with other figures."""
    ledger, log = funded()
    (repeat,) = log.append(Deposit(topup_id="t1", budget=BUDGET, tokens=100))
    (other,) = log.append(Deposit(topup_id="t1", budget=BUDGET, tokens=7))
    assert repeat.outcome is FactOutcome.REPEATED
    assert other.outcome is FactOutcome.MISMATCH
    assert ledger.status(BUDGET).deposited == 100


def test_second_run_is_not_billed():
    """The first run of a request is billed; tokens of another run are not billed."""
    ledger, log = funded()
    log.append(bill("a", 10))
    (repeat,) = log.append(bill("a", 10))
    (second,) = log.append(bill("b", 5))
    status = ledger.status(BUDGET)
    assert repeat.outcome is FactOutcome.REPEATED
    assert second.outcome is FactOutcome.DUPLICATE_RUN
    assert (status.billed, status.duplicate, status.bills) == (10, 5, 1)


def test_resumed_run_is_billed_at_its_highest_figure():
    """Two settlements of one run are billed at the higher figure, in either order."""
    for first, second in ((20, 30), (30, 20)):
        ledger, log = funded()
        log.append(bill("a", first, settler="r1"))
        log.append(bill("a", second, settler="r2"))
        status = ledger.status(BUDGET)
        assert (status.billed, status.held, status.balance) == (30, 10, 60)


def test_bill_over_two_grants_is_one_bill():
    """A bill that names further grants takes from each and counts once."""
    ledger, log = funded()
    log.append(Grant(grant_id="g2", budget=BUDGET, holder="h1", tokens=40))
    log.append(bill("a", 60, further=(Charge(grant_id="g2", tokens=15),)))
    status = ledger.status(BUDGET)
    assert (status.billed, status.held, status.bills) == (75, 25, 1)


def test_bill_above_the_grant_is_counted_as_excess():
    """A bill takes at most the tokens of the grant; the rest is counted as excess."""
    ledger, log = funded()
    (verdict,) = log.append(bill("a", 70))
    assert verdict.outcome is FactOutcome.PARTIAL
    assert ledger.status(BUDGET).excess == 10


def test_release_frees_only_locked_tokens():
    """Only the named witness frees locked tokens, and late facts free none again."""
    ledger, log = funded()
    log.append(GrantReturn("u1", "g1", BUDGET, tokens=10, opened=False))
    (other,) = log.append(GrantRelease("g1", BUDGET, witness="w2", opened=20))
    (release,) = log.append(GrantRelease("g1", BUDGET, witness="w1", opened=20))
    (again,) = log.append(GrantRelease("g1", BUDGET, witness="w1", opened=10))
    (late,) = log.append(GrantReturn("u2", "g1", BUDGET, tokens=30, opened=False))
    assert other.outcome is FactOutcome.REJECTED
    assert (release.outcome, release.tokens) == (FactOutcome.ACCEPTED, 30)
    assert again.outcome is FactOutcome.REPEATED
    assert late.outcome is FactOutcome.REJECTED
    assert ledger.remaining("g1") == 20


def test_elapsed_time_frees_no_tokens():
    """An unresponsive holder keeps its grant, and a return counts once years later."""
    ledger, log = funded()
    years = 10 * 365 * 24 * 3600.0
    log.append(Deposit(topup_id="t2", budget=BUDGET, tokens=1), time=years)
    assert ledger.remaining("g1") == 60
    fact = GrantReturn("u1", "g1", BUDGET, tokens=10)
    log.append(fact, time=years)
    (again,) = log.append(fact, time=2 * years)
    assert again.outcome is FactOutcome.REPEATED
    assert ledger.remaining("g1") == 50
