"""Attempts per request when all endpoints fail."""

from __future__ import annotations

import random
from collections.abc import Iterator

from knapweeddrum.core.routing.failed_attempt import FailedAttempt
from knapweeddrum.core.routing.retry import Retry
from knapweeddrum.core.routing.retry_budget import RetryBudget
from knapweeddrum.core.routing.retry_policy import RetryPolicy
from knapweeddrum.value.retry_reason import RetryReason
from knapweeddrum.value.run_state import RunState
from tools.routing_model.event_loop import EventLoop
from tools.routing_model.figures import rounded
from tools.routing_model.row import Row

SEEDS = (1, 2, 3)
ROUTERS = 7
REQUESTS_PER_SECOND = 40.0
"""Arrival rate at each router, per second."""
OUTAGE_SECONDS = 60.0
DEADLINE_SECONDS = 10.0


class _UnlimitedBudget(RetryBudget):
    """A budget that is never exhausted."""

    def withdraw(self, now: float) -> bool:
        return True


class _Outage:
    """Routers that retry while every attempt fails."""

    def __init__(self, seed: int, has_budget: bool) -> None:
        self.requests = 0
        self.attempts = 0
        self._loop = EventLoop()
        self._rng = random.Random(seed)
        budget = RetryBudget if has_budget else _UnlimitedBudget
        self._policies = [
            RetryPolicy(random.Random(f"{seed}/{number}"), budget(0.0))
            for number in range(ROUTERS)
        ]

    def run(self) -> None:
        """Run the simulation to its end."""
        self._loop.call_later(0.0, self._arrive)
        self._loop.run_until(OUTAGE_SECONDS)

    def _arrive(self) -> None:
        self.requests += 1
        policy = self._rng.choice(self._policies)
        policy.count_request()
        self._attempt(policy, 1, self._loop.now + DEADLINE_SECONDS)
        self._loop.call_later(
            self._rng.expovariate(REQUESTS_PER_SECOND * ROUTERS), self._arrive
        )

    def _attempt(self, policy: RetryPolicy, number: int, deadline: float) -> None:
        self.attempts += 1
        failure = FailedAttempt(
            RetryReason.ENDPOINT_ERROR, number, True, RunState.UNKNOWN, deadline
        )
        decision = policy.decide(failure, self._loop.now)
        if isinstance(decision, Retry):
            self._loop.call_later(
                decision.delay, lambda: self._attempt(policy, number + 1, deadline)
            )


def retry_rows() -> Iterator[Row]:
    """Yield a row with and without retry budget for each seed."""
    for strategy, has_budget in (("without_budget", False), ("with_budget", True)):
        for seed in SEEDS:
            outage = _Outage(seed, has_budget)
            outage.run()
            attempts = outage.attempts / outage.requests
            figures = {
                "requests": float(outage.requests),
                "attempts_per_request": rounded(attempts),
            }
            yield Row("all_endpoints_fail", strategy, seed, figures)
