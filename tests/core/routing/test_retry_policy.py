from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from knapweeddrum.core.routing.failed_attempt import FailedAttempt
from knapweeddrum.core.routing.give_up import GiveUp
from knapweeddrum.core.routing.retry import Retry
from knapweeddrum.core.routing.retry_budget import RETRY_BUDGET_LIMIT, RetryBudget
from knapweeddrum.core.routing.retry_policy import MAX_ATTEMPTS, RetryPolicy
from knapweeddrum.value.refusal_reason import RefusalReason
from knapweeddrum.value.retry_reason import RetryReason
from knapweeddrum.value.run_state import RunState


def _failure(attempts=1, idempotent=True, deadline=60.0, **kwargs):
    kwargs.setdefault("reason", RetryReason.ENDPOINT_ERROR)
    kwargs.setdefault("run_state", RunState.UNKNOWN)
    return FailedAttempt(
        attempts=attempts, idempotent=idempotent, deadline=deadline, **kwargs
    )


def _policy():
    return RetryPolicy(random.Random(5), RetryBudget(0.0))


def test_request_that_is_not_idempotent_is_never_retried():
    """A request that isn't idempotent is given up even if nothing was sent."""
    sent = _policy().decide(_failure(idempotent=False), 0.0)
    assert sent.refusal.reason is RefusalReason.OUTCOME_UNKNOWN
    assert (sent.refusal.run_state, sent.refusal.retry_after) == (
        RunState.UNKNOWN,
        None,
    )
    unsent = _policy().decide(
        _failure(
            idempotent=False,
            reason=RetryReason.CONNECT_FAILED,
            run_state=RunState.NOT_RUN,
        ),
        0.0,
    )
    assert unsent.refusal.run_state is RunState.NOT_RUN
    assert unsent.refusal.retry_after > 0.0


def test_no_retry_beyond_deadline_or_attempts():
    """No retry is made that would start after the deadline or exceed MAX_ATTEMPTS."""
    late = _failure(deadline=1.0, retry_after=2.0)
    assert isinstance(_policy().decide(late, 0.0), GiveUp)
    last = _failure(attempts=MAX_ATTEMPTS)
    assert isinstance(_policy().decide(last, 0.0), GiveUp)


def test_busy_endpoint_sets_the_shortest_delay():
    """The delay is at least the endpoint's retry-after."""
    busy = _failure(reason=RetryReason.ENDPOINT_BUSY, retry_after=3.0)
    assert _policy().decide(busy, 0.0).delay >= 3.0


@settings(derandomize=True, deadline=None, max_examples=30)
@given(st.integers(50, 400), st.floats(0.0, 0.05))
def test_attempts_stay_within_budget_when_all_fail(requests, interval):
    """Retries never exceed initial budget, retry ratio and refill together."""
    budget = RetryBudget(0.0)
    policy = RetryPolicy(random.Random(6), budget)
    retries = 0
    for number in range(requests):
        policy.count_request()
        attempts = 1
        while isinstance(
            policy.decide(_failure(attempts, deadline=1e9), number * interval), Retry
        ):
            attempts += 1
            retries += 1
    assert retries <= RETRY_BUDGET_LIMIT + 0.1 * requests + 0.2 * requests * interval
