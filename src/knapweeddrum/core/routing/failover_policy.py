"""Whether an entry process sends a failed request to another endpoint."""

from __future__ import annotations

import random

from knapweeddrum.core.routing.failed_attempt import FailedAttempt
from knapweeddrum.core.routing.give_up import GiveUp
from knapweeddrum.core.routing.retry import Retry
from knapweeddrum.core.routing.retry_window import RetryWindow
from knapweeddrum.value.refusal import Refusal
from knapweeddrum.value.refusal_reason import RefusalReason
from knapweeddrum.value.retry_reason import NOT_SENT_REASONS, RetryReason
from knapweeddrum.value.run_state import RunState

MAX_CONNECT_FAILURES = 3
"""Failed connections of one request up to which another endpoint is tried."""

MAX_FAILOVER_CRASHES = 1
"""Endpoints that may have crashed under a request up to which another is tried."""

MEAN_RETRY_AFTER_SECONDS = 0.25
"""Mean retry-after of a request that has not run."""

RETRY_AFTER_FRACTION = 0.3
"""Greatest retry-after, as a fraction of the time to the request's deadline."""


class FailoverPolicy:
    """Decides after each failed attempt of one service's requests.

    A request is sent again only if it is idempotent or known not to have run, at most
    as often as the route allows, and within the retry budget. Attempts that were not
    sent count towards neither limit; MAX_CONNECT_FAILURES bounds them. A request under
    which more than MAX_FAILOVER_CRASHES endpoints may have crashed is not sent again.
    ``now`` is in monotonic seconds.
    """

    def __init__(self, rng: random.Random, budget: RetryWindow) -> None:
        self._rng = rng
        self.budget = budget

    def count_request(self, now: float) -> None:
        """Count a request at its first attempt."""
        self.budget.deposit(now)

    def decide(
        self, failure: FailedAttempt, max_attempts: int, now: float
    ) -> Retry | GiveUp:
        """Return whether to send the request to another endpoint, without delay."""
        if now >= failure.deadline:
            return self._give_up(failure, now)
        may_repeat = failure.idempotent or failure.run_state is RunState.NOT_RUN
        if failure.reason in NOT_SENT_REASONS and may_repeat:
            if failure.connect_failures <= MAX_CONNECT_FAILURES:
                return Retry(failure.reason, 0.0)
            return self._give_up(failure, now)
        if failure.crashes > MAX_FAILOVER_CRASHES:
            return self._give_up(failure, now)
        if not may_repeat or failure.attempts >= max_attempts:
            return self._give_up(failure, now)
        if not self.budget.withdraw(now):
            return self._give_up(failure, now)
        return Retry(failure.reason, 0.0)

    def retry_after(self, deadline: float, now: float) -> float:
        """Return the retry-after in seconds of a request that has not run."""
        spread = self._rng.uniform(0.5, 1.5) * MEAN_RETRY_AFTER_SECONDS
        return max(0.01, min(spread, (deadline - now) * RETRY_AFTER_FRACTION))

    def _give_up(self, failure: FailedAttempt, now: float) -> GiveUp:
        if failure.run_state is RunState.NOT_RUN:
            busy = failure.reason is RetryReason.ENDPOINT_BUSY
            reason = RefusalReason.OVERLOADED if busy else RefusalReason.NO_ENDPOINT
            wait = max(failure.retry_after, self.retry_after(failure.deadline, now))
            return GiveUp(Refusal(reason, RunState.NOT_RUN, wait))
        if failure.reason is RetryReason.DEADLINE:
            return GiveUp(Refusal(RefusalReason.DEADLINE, failure.run_state))
        return GiveUp(Refusal(RefusalReason.ENDPOINT_FAILED, failure.run_state))
