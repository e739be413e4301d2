"""Whether a router attempts a failed request again."""

from __future__ import annotations

import random

from knapweeddrum.core.routing.failed_attempt import FailedAttempt
from knapweeddrum.core.routing.give_up import GiveUp
from knapweeddrum.core.routing.retry import Retry
from knapweeddrum.core.routing.retry_budget import RetryBudget
from knapweeddrum.value.refusal import Refusal
from knapweeddrum.value.refusal_reason import RefusalReason
from knapweeddrum.value.retry_reason import RetryReason
from knapweeddrum.value.run_state import RunState

MAX_ATTEMPTS = 3
"""Attempts of one request at one router, the first included."""

RETRY_BACKOFF_BASE_SECONDS = 0.05
RETRY_BACKOFF_LIMIT_SECONDS = 2.0

REFUSAL_RETRY_AFTER_SECONDS = 1.0
"""Mean retry-after, per attempt made, of a request that is given up."""


class RetryPolicy:
    """Retries idempotent requests within budget and deadline, after a random backoff.

    The budget is shared by the requests of one route at one router.
    """

    def __init__(self, rng: random.Random, budget: RetryBudget) -> None:
        self._rng = rng
        self._budget = budget

    def count_request(self) -> None:
        """Count a request at its first attempt."""
        self._budget.deposit()

    def decide(self, failure: FailedAttempt, now: float) -> Retry | GiveUp:
        """Return whether, and after how many seconds, to attempt again."""
        if not failure.idempotent or failure.attempts >= MAX_ATTEMPTS:
            return self._give_up(failure)
        delay = self._delay(failure)
        if now + delay >= failure.deadline:
            return self._give_up(failure)
        if not self._budget.withdraw(now):
            return self._give_up(failure)
        return Retry(failure.reason, delay)

    def _delay(self, failure: FailedAttempt) -> float:
        backoff = RETRY_BACKOFF_BASE_SECONDS * 2.0 ** (failure.attempts - 1)
        jittered = self._rng.uniform(0.5, 1.5) * min(
            backoff, RETRY_BACKOFF_LIMIT_SECONDS
        )
        return max(jittered, failure.retry_after)

    def _give_up(self, failure: FailedAttempt) -> GiveUp:
        reason = _refusal_reason(failure)
        retry_after: float | None = None
        if reason is not RefusalReason.OUTCOME_UNKNOWN:
            spread = self._rng.uniform(0.5, 1.5) * REFUSAL_RETRY_AFTER_SECONDS
            retry_after = failure.retry_after + spread * failure.attempts
        refusal = Refusal(reason, failure.run_state, retry_after)
        return GiveUp(refusal)


def _refusal_reason(failure: FailedAttempt) -> RefusalReason:
    if not failure.idempotent and failure.run_state is not RunState.NOT_RUN:
        return RefusalReason.OUTCOME_UNKNOWN
    if failure.reason is RetryReason.ENDPOINT_BUSY:
        return RefusalReason.OVERLOADED
    return RefusalReason.ENDPOINT_FAILED
