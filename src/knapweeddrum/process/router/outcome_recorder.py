"""Recording of the outcomes of claimed requests."""

from __future__ import annotations

import anyio
import anyio.abc

from knapweeddrum.message.call.outcome_request import OutcomeRequest
from knapweeddrum.process.router.backoff import Backoff
from knapweeddrum.process.router.guarded import guarded
from knapweeddrum.process.router.router_context import RouterContext
from knapweeddrum.rpc.exceptions import RpcError
from knapweeddrum.rpc.keeper_methods import OUTCOME
from knapweeddrum.telemetry.events import OUTCOME_LATE
from knapweeddrum.value.retry_reason import RetryReason

ANSWER_HOLD_TIMEOUT_SECONDS = 1.0
"""Limit on the wait of an answer until its outcome is on the log."""

RECORD_TIMEOUT_SECONDS = 5.0
FIRST_RECORD_DELAY_SECONDS = 0.05
LONGEST_RECORD_DELAY_SECONDS = 2.0


class OutcomeRecorder:
    """Sends each outcome to the keeper until it is on the log.

    The outcome is recorded before the caller is answered, so that a request sent again
    after the answer finds it. The wait is bounded: while the log is unavailable, the
    caller is answered first and the outcome is recorded in the background.
    """

    def __init__(self, context: RouterContext, tasks: anyio.abc.TaskGroup) -> None:
        self._context = context
        self._tasks = tasks
        self.unrecorded_outcomes = 0

    async def record(self, req: OutcomeRequest) -> None:
        """Return once the outcome is on the log, or after the bounded wait."""
        recorded = anyio.Event()
        self.start(req, recorded)
        with anyio.move_on_after(ANSWER_HOLD_TIMEOUT_SECONDS) as scope:
            await recorded.wait()
        if scope.cancelled_caught:
            self._context.events.emit(OUTCOME_LATE, claim_key=req.claim_key)

    def start(self, req: OutcomeRequest, recorded: anyio.Event | None = None) -> None:
        """Record in the background; ``recorded`` is set once that is done."""
        self.unrecorded_outcomes += 1
        recorded = recorded or anyio.Event()
        self._tasks.start_soon(
            guarded, self._context, "outcome", self._send_until_accepted, req, recorded
        )

    async def _send_until_accepted(
        self, req: OutcomeRequest, recorded: anyio.Event
    ) -> None:
        backoff = Backoff(
            self._context.rng,
            FIRST_RECORD_DELAY_SECONDS,
            LONGEST_RECORD_DELAY_SECONDS,
        )
        while not await self._send_once(req):
            self._context.metrics.count_retry(RetryReason.KEEPER_UNREACHABLE)
            await anyio.sleep(backoff.delay())
        self.unrecorded_outcomes -= 1
        recorded.set()

    async def _send_once(self, req: OutcomeRequest) -> bool:
        """Send the outcome once; return whether the keeper accepted it."""
        try:
            reply = await self._context.keeper.call(
                OUTCOME, req, RECORD_TIMEOUT_SECONDS
            )
        except RpcError:
            return False
        return reply.accepted
