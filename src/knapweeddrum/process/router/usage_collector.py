"""Collection of the token usage of runs whose final part was not received."""

from __future__ import annotations

import anyio
import anyio.abc

from knapweeddrum.endpoint.exceptions import EndpointError, UnknownRunError
from knapweeddrum.endpoint.run_usage import RunUsage
from knapweeddrum.process.router.allowance_manager import AllowanceManager
from knapweeddrum.process.router.backoff import Backoff
from knapweeddrum.process.router.engine_attempt import EngineAttempt
from knapweeddrum.process.router.guarded import guarded
from knapweeddrum.process.router.locator import Locator
from knapweeddrum.process.router.pending_usage import PendingUsage
from knapweeddrum.process.router.router_context import RouterContext
from knapweeddrum.telemetry.events import USAGE_LOST, USAGE_PENDING

PENDING_RUNS_LIMIT = 1024
"""Maximum of runs with unknown usage; at this limit new requests are refused."""

CANCEL_TIMEOUT_SECONDS = 3.0
FIRST_CANCEL_DELAY_SECONDS = 0.1
LONGEST_CANCEL_DELAY_SECONDS = 5.0

UNKNOWN_RUN_REPLIES_LIMIT = 3
"""Replies that the run is unknown after which its usage is given up.

A request that was cut while it was being sent may reach the engine after the cancel.
"""


class UsageCollector:
    """Cancels runs at their engines and settles them by the usage these report.

    While an engine is unreachable, the reservation is kept and the cancel repeated.
    """

    def __init__(
        self,
        context: RouterContext,
        allowances: AllowanceManager,
        locator: Locator,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        self._context = context
        self._allowances = allowances
        self._locator = locator
        self._tasks = tasks
        self.pending_runs = 0

    @property
    def is_full(self) -> bool:
        """Return whether the usage of too many runs is pending."""
        return self.pending_runs >= PENDING_RUNS_LIMIT

    def collect(self, pending: PendingUsage) -> None:
        """Collect the usage of a run in the background."""
        self.pending_runs += 1
        self._tasks.start_soon(
            guarded, self._context, "usage", self._cancel_and_settle, pending
        )

    async def _cancel_and_settle(self, pending: PendingUsage) -> None:
        attempt = pending.attempt
        try:
            if pending.may_be_resumed_elsewhere and await self._is_resumed_elsewhere(
                pending
            ):
                self._allowances.release(attempt.reservation)
                return
            self._locator.forget(pending.request_key, attempt.run_id)
            await self._cancel_until_usage_known(attempt)
            await pending.request_ended.wait()
            usage = attempt.meter.figures(pending.outcome)
            self._allowances.settle(attempt.reservation, usage)
        finally:
            self.pending_runs -= 1

    async def _is_resumed_elsewhere(self, pending: PendingUsage) -> bool:
        """Return whether another router resumed the run, which then settles it."""
        return await self._locator.is_resumed_elsewhere(
            pending.request_key, pending.attempt.run_id
        )

    async def _cancel_until_usage_known(self, attempt: EngineAttempt) -> None:
        """Repeat the cancel until the engine reports the usage.

        Gives up after UNKNOWN_RUN_REPLIES_LIMIT replies that the run is unknown. This
        is logged only if parts were received, as the run has consumed tokens then.
        """
        backoff = Backoff(
            self._context.rng, FIRST_CANCEL_DELAY_SECONDS, LONGEST_CANCEL_DELAY_SECONDS
        )
        unknown_replies = 0
        failures = 0
        while unknown_replies < UNKNOWN_RUN_REPLIES_LIMIT:
            try:
                usage = await self._cancel(attempt)
            except UnknownRunError:
                unknown_replies += 1
            except (EndpointError, TimeoutError) as exc:
                failures += 1
                self._report_pending(attempt, failures, exc)
            else:
                attempt.meter.record_usage(usage.run_id, usage.tokens, usage.running)
                return
            await anyio.sleep(backoff.delay())
        if attempt.meter.next_index:
            self._context.events.emit(
                USAGE_LOST, run_id=attempt.run_id, endpoint=attempt.endpoint
            )

    async def _cancel(self, attempt: EngineAttempt) -> RunUsage:
        with anyio.fail_after(CANCEL_TIMEOUT_SECONDS):
            return await attempt.engine.cancel(attempt.run_id)

    def _report_pending(
        self, attempt: EngineAttempt, failures: int, exc: Exception
    ) -> None:
        """Log the first failed cancel."""
        if failures == 1:
            self._context.events.emit(
                USAGE_PENDING,
                run_id=attempt.run_id,
                endpoint=attempt.endpoint,
                error=repr(exc),
            )
