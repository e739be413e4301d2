from __future__ import annotations

import hypothesis
from hypothesis import given
from hypothesis import strategies as st

from knapweeddrum.core.prepaid.loan_ledger import BORROWER_MEMORY_SECONDS, LoanLedger
from tests.core.prepaid.loan_fleet import LoanFleet, LoanRules
from tests.core.prepaid.test_token_accounts import HOSTS
from tests.core.violation_search import assert_violation_found

SEARCH_SETTINGS = hypothesis.settings(max_examples=300)
VIOLATION_SEARCH_SETTINGS = hypothesis.settings(
    SEARCH_SETTINGS, max_examples=1_500, phases=[hypothesis.Phase.generate]
)


def check_loans(rules: LoanRules, settings: hypothesis.settings) -> None:
    """Search for an order of faults in which hosts spend more than was paid."""
    actions = st.lists(
        st.tuples(
            st.sampled_from(LoanFleet(rules).choices),
            st.integers(0, HOSTS - 1),
            st.integers(1, 3_000),
        ),
        min_size=30,
        max_size=120,
    )

    @settings
    @given(actions)
    def search(steps: list[tuple[str, int, int]]) -> None:
        fleet = LoanFleet(rules)
        for action, index, tokens in steps:
            fleet.step(action, index, tokens)
        fleet.finish()

    search()


class LedgerThatRecoversLate(LoanLedger):
    """Recovers what an out-of-date request says that its sender had not received."""

    def begin(
        self,
        organisation: str,
        borrower: str,
        number: int,
        received: int,
        free: int,
        now: float,
    ) -> int | None:
        known = self._borrower(organisation, borrower)
        known.number = min(known.number, number - 1)
        return super().begin(organisation, borrower, number, received, free, now)


class LedgerThatCreditsTotals(LoanLedger):
    """Credits the whole total of a return, whatever was credited before."""

    def accept_return(self, organisation: str, borrower: str, total: int) -> int:
        super().accept_return(organisation, borrower, total)
        return total


def test_no_order_of_lost_and_late_messages_spends_more_than_was_paid():
    """Loans and returns create no tokens, whatever is lost, late, rejected or killed.

    Nor do two owners, hosts of the version before, lowered claims, and witnesses that
    release the claims of holders that are alive.
    """
    check_loans(LoanRules(), SEARCH_SETTINGS)


def test_search_finds_a_lender_that_recovers_from_late_requests():
    """A loan that arrived counts as lost to a request sent before it."""
    rules = LoanRules(ledger_class=LedgerThatRecoversLate)
    assert_violation_found(lambda: check_loans(rules, VIOLATION_SEARCH_SETTINGS))


def test_search_finds_a_lender_that_credits_the_total_of_each_return():
    """What was given back before would be credited once more."""
    rules = LoanRules(ledger_class=LedgerThatCreditsTotals)
    assert_violation_found(lambda: check_loans(rules, VIOLATION_SEARCH_SETTINGS))


def test_search_finds_a_borrower_that_takes_back_what_may_have_arrived():
    """A return whose reply was lost may have been credited."""
    rules = LoanRules(credits_returns_without_reply=True)
    assert_violation_found(lambda: check_loans(rules, VIOLATION_SEARCH_SETTINGS))


def test_loan_that_never_arrived_is_recovered_once():
    """The next request tells that it is missing; the one after that does not."""
    ledger = LoanLedger()
    assert ledger.begin("mill", "b", 1, 0, 0, 0.0) == 0
    ledger.record_loan("mill", "b", 700)
    assert ledger.begin("mill", "b", 2, 0, 0, 0.1) == 700
    ledger.record_loan("mill", "b", 300)
    assert ledger.begin("mill", "b", 3, 300, 0, 0.2) == 0


def test_out_of_date_request_recovers_nothing():
    """A request that the borrower has given up says nothing about later loans."""
    ledger = LoanLedger()
    assert ledger.begin("mill", "b", 2, 0, 0, 0.0) == 0
    ledger.record_loan("mill", "b", 700)
    assert ledger.begin("mill", "b", 1, 0, 0, 0.1) is None
    assert ledger.begin("mill", "b", 2, 0, 0, 0.1) is None
    assert ledger.begin("mill", "b", 3, 700, 0, 0.2) == 0


def test_loan_recorded_after_a_later_request_is_recovered_by_the_next():
    """A loan that waited at the lender while its borrower gave it up is not lost."""
    ledger = LoanLedger()
    assert ledger.begin("mill", "b", 1, 0, 0, 0.0) == 0
    assert ledger.begin("mill", "b", 2, 0, 0, 0.4) == 0
    ledger.record_loan("mill", "b", 500)
    ledger.record_loan("mill", "b", 900)
    assert ledger.begin("mill", "b", 3, 900, 0, 0.6) == 500


def test_borrowers_and_organisations_are_counted_apart():
    """What one borrower has not received says nothing about another's loans."""
    ledger = LoanLedger()
    for name, organisation in (("b", "mill"), ("c", "mill"), ("b", "dairy")):
        assert ledger.begin(organisation, name, 1, 0, 0, 0.0) == 0
        ledger.record_loan(organisation, name, 700)
    assert ledger.begin("mill", "b", 2, 0, 0, 0.1) == 700
    assert ledger.begin("mill", "c", 2, 700, 0, 0.1) == 0
    assert ledger.begin("dairy", "b", 2, 700, 0, 0.1) == 0


def test_returns_count_once_in_any_order():
    """A total that comes late or again credits nothing; a missed one is made up for."""
    ledger = LoanLedger()
    assert ledger.accept_return("mill", "b", 100) == 100
    assert ledger.accept_return("mill", "b", 100) == 0
    assert ledger.accept_return("mill", "b", 400) == 300
    assert ledger.accept_return("mill", "b", 250) == 0
    assert ledger.accept_return("mill", "c", 50) == 50


def test_free_tokens_of_borrowers_are_known_for_a_while():
    """They follow reports, loans and returns, and name who may lend, most first."""
    ledger = LoanLedger()
    ledger.begin("mill", "b", 1, 0, 200, 0.0)
    ledger.record_loan("mill", "b", 300)
    ledger.begin("mill", "c", 1, 0, 800, 1.0)
    ledger.accept_return("mill", "c", 100)
    ledger.begin("mill", "d", 1, 0, 0, 1.0)
    assert ledger.outstanding("mill", 1.0) == 1_200
    assert ledger.holders("mill", 1.0) == ["c", "b"]
    later = BORROWER_MEMORY_SECONDS + 0.5
    assert ledger.outstanding("mill", later) == 700
    assert ledger.holders("mill", later) == ["c"]
    assert ledger.holders("dairy", 1.0) == []


def test_only_borrowers_that_have_ended_are_forgotten():
    """The total of one that is alive would be credited once more."""
    loans = LoanLedger()
    for name in ("ended", "alive"):
        loans.begin("mill", name, 1, 0, 0, 0.0)
        loans.record_loan("mill", name, 500)
        assert loans.accept_return("mill", name, 300) == 300
    loans.forget(lambda name: name == "ended")
    assert loans.holders("mill", 1.0) == ["alive"]
    assert loans.accept_return("mill", "alive", 300) == 0


def test_return_of_a_borrower_that_was_forgotten_is_not_credited_again():
    """It may live, however it came to be taken for replaced."""
    loans = LoanLedger()
    assert loans.begin("mill", "host-2/1", 1, 0, 0, 0.0) == 0
    loans.record_loan("mill", "host-2/1", 500)
    assert loans.accept_return("mill", "host-2/1", 300) == 300
    loans.forget(lambda _name: True)
    assert loans.accept_return("mill", "host-2/1", 400) is None
    assert loans.begin("mill", "host-2/1", 2, 500, 0, 1.0) == 0
    assert loans.accept_return("mill", "host-2/1", 400) is None
