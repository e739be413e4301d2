from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from knapweeddrum.core.routing.fence_issuer import FenceIssuer
from knapweeddrum.core.routing.issue_verdict import IssueVerdict
from knapweeddrum.core.routing.order_book import OrderBook
from knapweeddrum.core.routing.order_issue import OrderIssue

ENGINE = "desk-1"


def test_engine_that_ignores_fences_has_one_order_outstanding():
    """The second of two racing issuers waits until the first records the end."""
    book = OrderBook()
    first, second = FenceIssuer("a", book), FenceIssuer("b", book)
    issues = [issuer.propose(ENGINE, "load", False) for issuer in (first, second)]
    assert book.apply_issue(issues[0], 7) is IssueVerdict.ACCEPTED
    assert book.apply_issue(issues[1], 8) is IssueVerdict.OUTSTANDING
    assert second.sendable(ENGINE) is None
    assert second.propose(ENGINE, "unload", False) is None
    assert first.sendable(ENGINE).fence == 7
    book.apply_finish(ENGINE, "b", 7)
    assert first.sendable(ENGINE).fence == 7
    book.apply_finish(ENGINE, "a", 7)
    assert second.propose(ENGINE, "unload", False) is not None


def test_silent_issuer_blocks_until_an_operator_releases():
    """No lapse of time lets another issuer go on; the operator's record does."""
    book = OrderBook()
    book.apply_issue(OrderIssue(ENGINE, "load", "a", False), 3)
    other = FenceIssuer("b", book)
    assert other.propose(ENGINE, "load", False) is None
    book.apply_release(ENGINE, 3)
    assert FenceIssuer("a", book).sendable(ENGINE) is None
    assert other.propose(ENGINE, "role", False) is not None


def test_engine_that_checks_fences_takes_over_at_once():
    """A paused issuer's order carries the older number when it wakes."""
    book = OrderBook()
    book.apply_issue(OrderIssue(ENGINE, "load", "a", True), 3)
    stale = FenceIssuer("a", book).sendable(ENGINE)
    issue = FenceIssuer("b", book).propose(ENGINE, "load", True)
    assert book.apply_issue(issue, 9) is IssueVerdict.ACCEPTED
    assert FenceIssuer("b", book).sendable(ENGINE).fence > stale.fence
    assert FenceIssuer("a", book).sendable(ENGINE) is None


@settings(derandomize=True, deadline=None, max_examples=100)
@given(st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=30))
def test_at_most_one_unfinished_order_at_an_engine_that_ignores_fences(steps):
    """Whatever issuers append and in whatever order, accepted orders don't overlap."""
    book = OrderBook()
    unfinished = []
    for offset, (issuer, finishes) in enumerate(steps):
        if finishes:
            for fence, holder in list(unfinished):
                if holder == issuer:
                    book.apply_finish(ENGINE, issuer, fence)
                    unfinished.remove((fence, holder))
        elif (
            book.apply_issue(OrderIssue(ENGINE, "load", issuer, False), offset)
            is IssueVerdict.ACCEPTED
        ):
            unfinished.append((offset, issuer))
        assert len(unfinished) <= 1
