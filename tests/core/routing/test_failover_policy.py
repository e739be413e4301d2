from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from knapweeddrum.core.routing.failed_attempt import FailedAttempt
from knapweeddrum.core.routing.failover_policy import (
    MAX_CONNECT_FAILURES,
    FailoverPolicy,
)
from knapweeddrum.core.routing.give_up import GiveUp
from knapweeddrum.core.routing.retry import Retry
from knapweeddrum.core.routing.retry_window import RetryWindow
from knapweeddrum.value.refusal_reason import RefusalReason
from knapweeddrum.value.retry_reason import RetryReason
from knapweeddrum.value.run_state import RunState


def policy(limit: float = 10.0) -> FailoverPolicy:
    return FailoverPolicy(random.Random(3), RetryWindow(0.1, limit, 10.0))


def failure(**changes) -> FailedAttempt:
    values = {
        "reason": RetryReason.CONNECTION_LOST,
        "attempts": 1,
        "idempotent": True,
        "run_state": RunState.UNKNOWN,
        "deadline": 4.0,
    }
    return FailedAttempt(**{**values, **changes})


@given(
    st.sampled_from(RetryReason),
    st.integers(1, 4),
    st.sampled_from([RunState.RAN, RunState.UNKNOWN]),
    st.integers(1, 4),
)
def test_non_idempotent_request_that_may_have_run_is_not_sent_again(
    reason, attempts, run_state, max_attempts
):
    """The refusal neither says that the request has not run nor has a retry-after."""
    failed = failure(
        reason=reason, attempts=attempts, run_state=run_state, idempotent=False
    )
    decision = policy().decide(failed, max_attempts, 0.0)
    assert isinstance(decision, GiveUp)
    assert decision.refusal.run_state is not RunState.NOT_RUN
    assert decision.refusal.reason in (
        RefusalReason.ENDPOINT_FAILED,
        RefusalReason.DEADLINE,
    )
    assert decision.refusal.retry_after is None


def test_sending_again_is_bounded_by_route_and_retry_budget():
    """A resend needs an attempt that the route allows and a retry in the budget."""
    assert isinstance(policy().decide(failure(), 2, 0.0), Retry)
    assert isinstance(policy().decide(failure(attempts=2), 2, 0.0), GiveUp)
    scarce = policy(1.0)
    assert isinstance(scarce.decide(failure(), 2, 0.0), Retry)
    assert isinstance(scarce.decide(failure(), 2, 0.0), GiveUp)


def test_unsent_request_goes_to_another_endpoint_even_if_not_idempotent():
    """A failed connection uses up neither an attempt nor the retry budget."""
    unsent = {
        "reason": RetryReason.CONNECT_FAILED,
        "run_state": RunState.NOT_RUN,
        "idempotent": False,
        "attempts": 0,
    }
    decide = policy(0.0).decide
    assert isinstance(decide(failure(connect_failures=1, **unsent), 1, 0.0), Retry)
    many = failure(connect_failures=MAX_CONNECT_FAILURES + 1, **unsent)
    decision = decide(many, 1, 0.0)
    assert decision.refusal.run_state is RunState.NOT_RUN


@given(st.floats(0.0, 4.0))
def test_retry_after_is_within_a_third_of_the_time_left(now):
    """A caller whose request has not run has time to repeat it before the deadline."""
    failed = failure(
        reason=RetryReason.ENDPOINT_BUSY, run_state=RunState.NOT_RUN, attempts=1
    )
    refusal = policy().decide(failed, 1, now).refusal
    assert refusal.reason is RefusalReason.OVERLOADED
    assert 0 < refusal.retry_after <= max(0.01, (4.0 - now) / 3)


def test_request_under_which_two_endpoints_may_have_crashed_is_not_sent_again():
    """One possible crash leaves the failover as it is, a second one ends it."""
    assert isinstance(policy().decide(failure(crashes=1), 3, 0.0), Retry)
    decision = policy().decide(failure(attempts=2, crashes=2), 3, 0.0)
    assert decision.refusal.reason is RefusalReason.ENDPOINT_FAILED
    assert decision.refusal.run_state is RunState.UNKNOWN
