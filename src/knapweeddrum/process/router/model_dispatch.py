"""Attempts of one request at model engines, with retries and resumption."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator, Callable

import anyio

from knapweeddrum.core.admission.placement import Placement
from knapweeddrum.core.billing.run_outcome import RunOutcome
from knapweeddrum.core.routing.failed_attempt import FailedAttempt
from knapweeddrum.core.routing.give_up import GiveUp
from knapweeddrum.core.routing.request_features import RequestFeatures
from knapweeddrum.endpoint.answer_part import AnswerPart
from knapweeddrum.endpoint.exceptions import (
    EndpointError,
    InvalidRequestError,
)
from knapweeddrum.endpoint.model_engine import ModelEngine
from knapweeddrum.endpoint.model_request import ModelRequest
from knapweeddrum.process.router.attempt_outcome import (
    attempt_result,
    retry_after,
    retry_reason,
    run_end,
)
from knapweeddrum.process.router.engine_attempt import EngineAttempt
from knapweeddrum.process.router.exceptions import RefusedError, refused
from knapweeddrum.process.router.held_request_claim import HeldRequestClaim
from knapweeddrum.process.router.model_job import ModelJob
from knapweeddrum.process.router.pending_usage import PendingUsage
from knapweeddrum.process.router.resuming_stream import ResumingStream
from knapweeddrum.process.router.run_ending import RunEnding
from knapweeddrum.process.router.run_services import RunServices
from knapweeddrum.process.router.run_states import combined_run_state
from knapweeddrum.value.identifiers import EndpointName, RunId
from knapweeddrum.value.refusal_reason import RefusalReason
from knapweeddrum.value.retry_reason import RetryReason
from knapweeddrum.value.run_state import RunState

RESUME_TAKEN_OVER_DELAY_SECONDS = 0.1
"""Delay before a run that another router started is resumed.

A caller may leave one router and retry at another at once. The delay lets the first
router's cancel reach the engine; otherwise the caller would be sent the first parts of
a run that is being cancelled.
"""

ATTEMPT_RETRY_AFTER_SECONDS = 1.0

CANCELLED_FINISH_REASON = "cancelled"
"""Finish reason of a run that was cancelled at its engine."""


class ModelDispatch:
    """Attempts a request until its answer is complete or the request is refused.

    A stream that is cut is resumed at its engine. Another engine is tried only while
    no part was sent to the caller. Each run has its own reservation and settlement.
    """

    def __init__(
        self,
        job: ModelJob,
        services: RunServices,
        publish: Callable[[AnswerPart], None],
        request_ended: anyio.Event,
    ) -> None:
        self.run_state = RunState.NOT_RUN
        self._job = job
        self._services = services
        self._context = services.context
        self._publish_to_caller = publish
        self._stream = ResumingStream(services, self._publish)
        self._request_ended = request_ended
        self._last_part: AnswerPart | None = None
        self._claim: HeldRequestClaim | None = None
        self._attempts = 0

    async def run(self, claim: HeldRequestClaim | None = None) -> RunEnding:
        """Return how a complete answer ended; raises RefusedError for any other end."""
        self._claim = claim
        if not await self._resume_registered():
            await self._attempt_until_complete()
        last = self._last_part
        if (
            last is None
            or not last.final
            or last.finish_reason == CANCELLED_FINISH_REASON
        ):
            raise self._truncated()
        return RunEnding(
            finish_reason=last.finish_reason,
            prompt_tokens=last.prompt_tokens,
            output_tokens=last.output_tokens,
        )

    def _publish(self, part: AnswerPart) -> None:
        """Send a part to the caller and keep it as the latest one sent."""
        self._last_part = part
        self._publish_to_caller(part)

    async def _resume_registered(self) -> bool:
        """Resume a run that another router started; return whether it was answered."""
        if not self._job.id_from_caller or self._claim is not None:
            return False
        found = await self._services.locator.find(self._job.request_key)
        engine = self._services.directory.engine(EndpointName(found.endpoint))
        if not found.run_id or engine is None:
            return False
        run_id = RunId(found.run_id)
        endpoint = EndpointName(found.endpoint)
        async with self._reserve_attempt(endpoint, engine, run_id) as attempt:
            await self._register_run(attempt)
            await anyio.sleep(RESUME_TAKEN_OVER_DELAY_SECONDS)
            self._context.metrics.count_retry(RetryReason.STREAM_RESUMED)
            try:
                await self._publish_known_run(attempt)
            except EndpointError as exc:
                attempt.failure = exc
        if self._last_part is not None and attempt.failure is not None:
            raise self._truncated()
        return self._last_part is not None

    async def _publish_known_run(self, attempt: EngineAttempt) -> None:
        """Publish the answer of a known run, unless the run was cancelled.

        Raises EndpointError.
        """
        usage = await attempt.engine.usage(attempt.run_id)
        if usage.running:
            await attempt.resume(self._publish)
            return
        parts: list[AnswerPart] = []
        await attempt.resume(parts.append)
        if parts and parts[-1].finish_reason == CANCELLED_FINISH_REASON:
            return
        for part in parts:
            self._publish(part)

    async def _attempt_until_complete(self) -> None:
        """Attempt the request until it succeeds or the retry policy gives up."""
        policy = self._services.directory.retry_policy(self._job.route_name)
        policy.count_request()
        tried: list[EndpointName] = []
        while True:
            placement = self._services.crashes.find_placement(self._job.prompt_digest)
            endpoint = self._choose_engine(tried, placement)
            failure = await self._attempt_at(endpoint)
            if failure is None:
                return
            tried.append(endpoint)
            await anyio.sleep(self._retry_delay(failure))

    def _choose_engine(
        self, tried: list[EndpointName], placement: Placement
    ) -> EndpointName:
        """Return an engine that was not tried yet, or else any available one."""
        directory = self._services.directory
        job = self._job
        features = RequestFeatures(job.priority, job.prefixes)
        try:
            exclude = {*tried, *placement.exclude}
            return directory.choose(job.route, features, job.repeatable, exclude)
        except RefusedError:
            if not tried:
                raise
            return directory.choose(
                job.route, features, job.repeatable, placement.exclude
            )

    async def _attempt_at(self, endpoint: EndpointName) -> EndpointError | None:
        """Run the request at an engine; return its error, None if complete."""
        self._attempts += 1
        engine = self._services.directory.engine(endpoint)
        if engine is None:
            raise refused(RefusalReason.NO_ENDPOINT, "", ATTEMPT_RETRY_AFTER_SECONDS)
        run_id = RunId(self._context.new_id())
        async with self._reserve_attempt(endpoint, engine, run_id) as attempt:
            await self._register_run(attempt)
            self._check_deadline()
            if self._claim is not None:
                self._claim.mark_dispatched()
            try:
                await self._stream.start(attempt, self._request(attempt.run_id))
            except EndpointError as exc:
                attempt.failure = exc
        return attempt.failure

    def _request(self, run_id: RunId) -> ModelRequest:
        job = self._job
        return ModelRequest(
            run_id=run_id,
            model=job.route.model or job.route_name,
            body=job.body,
            output_limit=job.output_limit,
            priority=job.priority,
        )

    async def _register_run(self, attempt: EngineAttempt) -> None:
        """Register the run with the keeper, so that a retry at another router finds it.

        Only a caller that chose the request identifier can retry under it: for others
        the dispatch does not wait for the registration.
        """
        locator = self._services.locator
        location = (self._job.request_key, attempt.endpoint, attempt.run_id)
        if self._job.id_from_caller:
            await locator.register(*location)
        else:
            locator.register_in_background(*location)

    def _check_deadline(self) -> None:
        """Raise RefusedError after the deadline, also if it passed during a pause."""
        if self._context.clock() >= self._job.deadline:
            raise refused(RefusalReason.DEADLINE, "the deadline passed before dispatch")

    @contextlib.asynccontextmanager
    async def _reserve_attempt(
        self, endpoint: EndpointName, engine: ModelEngine, run_id: RunId
    ) -> AsyncIterator[EngineAttempt]:
        """Reserve tokens for a run; on exit, settle it or collect its usage."""
        job = self._job
        reservation = await self._services.allowances.reserve(
            job.budget, job.worst_case, job.deadline
        )
        attempt = EngineAttempt(
            job.request_key,
            run_id,
            endpoint,
            engine,
            reservation,
            self._context.metrics,
        )
        started_at = self._context.clock()
        self._services.directory.begin(endpoint)
        self._services.crashes.begin(run_id, job.prompt_digest, endpoint)
        try:
            yield attempt
        finally:
            result = attempt_result(attempt)
            self._services.directory.finish(endpoint, result, started_at)
            self._services.crashes.end(run_id, run_end(attempt))
            self.run_state = combined_run_state(self.run_state, attempt.run_state)
            if self._claim is not None and attempt.run_state is RunState.NOT_RUN:
                self._claim.mark_not_sent()
            self._settle(attempt)

    def _settle(self, attempt: EngineAttempt) -> None:
        """Settle a complete run, release one that did not run, cancel any other."""
        if attempt.meter.is_complete:
            usage = attempt.meter.figures(self._complete_outcome())
            self._services.allowances.settle(attempt.reservation, usage)
            return
        if not attempt.may_have_run:
            self._services.allowances.release(attempt.reservation)
            return
        failed = attempt.failure is not None
        pending = PendingUsage(
            request_key=self._job.request_key,
            attempt=attempt,
            outcome=RunOutcome.CUT if failed else RunOutcome.CANCELLED,
            request_ended=self._request_ended,
            may_be_resumed_elsewhere=self._job.id_from_caller and not failed,
        )
        self._services.collector.collect(pending)

    def _complete_outcome(self) -> RunOutcome:
        """Return the outcome of a run whose final part was received."""
        if (
            self._last_part is not None
            and self._last_part.finish_reason == CANCELLED_FINISH_REASON
        ):
            return RunOutcome.CANCELLED
        return RunOutcome.FINISHED

    def _retry_delay(self, failure: EndpointError) -> float:
        """Return the seconds to the next attempt; raises RefusedError for none."""
        if isinstance(failure, InvalidRequestError):
            raise refused(
                RefusalReason.BAD_REQUEST,
                "the engine rejected the request",
                run_state=self.run_state,
            )
        if self._last_part is not None:
            raise self._truncated()
        failed = FailedAttempt(
            reason=retry_reason(failure),
            attempts=self._attempts,
            idempotent=self._job.repeatable,
            run_state=self.run_state,
            deadline=self._job.deadline,
            retry_after=retry_after(failure),
        )
        policy = self._services.directory.retry_policy(self._job.route_name)
        decision = policy.decide(failed, self._context.clock())
        if isinstance(decision, GiveUp):
            raise RefusedError(decision.refusal)
        self._context.metrics.count_retry(decision.reason)
        return decision.delay

    def _truncated(self) -> RefusedError:
        """Return the error for an incomplete answer of which parts were sent."""
        return refused(
            RefusalReason.TRUNCATED,
            "the answer was cut and cannot be resumed",
            ATTEMPT_RETRY_AFTER_SECONDS,
            RunState.RAN,
        )
