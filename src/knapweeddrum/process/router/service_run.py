"""The execution of one request at plain services."""

from __future__ import annotations

import anyio

from knapweeddrum.core.admission.admission_request import AdmissionRequest
from knapweeddrum.core.routing.attempt_result import AttemptResult
from knapweeddrum.core.routing.failed_attempt import FailedAttempt
from knapweeddrum.core.routing.give_up import GiveUp
from knapweeddrum.core.routing.request_features import RequestFeatures
from knapweeddrum.endpoint.exceptions import EndpointConnectError, EndpointError
from knapweeddrum.endpoint.service_reply import ServiceReply
from knapweeddrum.process.router.exceptions import RefusedError, refused
from knapweeddrum.process.router.held_request_claim import HeldRequestClaim
from knapweeddrum.process.router.run_services import RunServices
from knapweeddrum.process.router.run_states import combined_run_state
from knapweeddrum.process.router.service_job import ServiceJob
from knapweeddrum.value.identifiers import EndpointName
from knapweeddrum.value.refusal import Refusal
from knapweeddrum.value.refusal_reason import RefusalReason
from knapweeddrum.value.retry_reason import RetryReason
from knapweeddrum.value.run_state import RunState

NO_ENDPOINT_RETRY_AFTER_SECONDS = 1.0


class ServiceRun:
    """Carries one request from admission to its reply.

    Runs in its own task. When the caller leaves, only a repeatable request is
    cancelled; any other goes on, so that its outcome is known and recorded.
    """

    def __init__(self, job: ServiceJob, services: RunServices) -> None:
        self.outcome: ServiceReply | Refusal = Refusal(
            RefusalReason.ENDPOINT_FAILED, RunState.UNKNOWN, detail="internal error"
        )
        self.ended = anyio.Event()
        self._job = job
        self._services = services
        self._scope = anyio.CancelScope()
        self._run_state = RunState.NOT_RUN
        self._claim: HeldRequestClaim | None = None
        self._attempts = 0

    def on_caller_left(self) -> None:
        """Cancel a repeatable request; no effect once ``outcome`` is set."""
        if self._job.repeatable:
            self._scope.cancel()

    async def execute(self) -> None:
        """Run until ``outcome`` holds the reply or the refusal."""
        try:
            self.outcome = await self._run_until_deadline()
        except RefusedError as exc:
            self.outcome = self._with_run_state(exc.refusal)
        finally:
            self.ended.set()

    def _with_run_state(self, refusal: Refusal) -> Refusal:
        """Return the refusal with the run state that all attempts together give."""
        run_state = combined_run_state(refusal.run_state, self._run_state)
        reason = refusal.reason
        if not self._job.repeatable and self._run_state is RunState.UNKNOWN:
            reason = RefusalReason.OUTCOME_UNKNOWN
        return Refusal(reason, run_state, refusal.retry_after, refusal.detail)

    async def _run_until_deadline(self) -> ServiceReply:
        left = self._job.deadline - self._services.context.clock()
        self._scope.deadline = anyio.current_time() + max(0.0, left)
        with self._scope:
            return await self._run_admitted()
        raise refused(RefusalReason.DEADLINE, "the deadline passed")

    async def _run_admitted(self) -> ServiceReply:
        """Run while holding an admission slot of the route."""
        job = self._job
        req = AdmissionRequest(
            request_id=self._services.context.new_id(),
            route=job.route_name,
            organisation=job.organisation,
            deadline=job.deadline,
            priority=job.priority,
            weight=job.weight,
        )
        async with self._services.admission.slot(req):
            if job.claim_key:
                return await self._run_claimed()
            return await self._attempt_until_answered()

    async def _run_claimed(self) -> ServiceReply:
        """Run at most once for the claim key, or return the recorded answer.

        The outcome is recorded before the caller is answered.
        """
        job = self._job
        claims = self._services.claims
        with claims.open_claim(job.claim_key) as claim:
            self._claim = claim
            recorded = await claims.acquire(claim, job.fingerprint, job.deadline)
            if recorded is not None:
                return ServiceReply(
                    recorded.status, recorded.content_type, recorded.body
                )
            try:
                reply = await self._attempt_until_answered()
            except RefusedError:
                await claim.record_no_answer()
                raise
            await claim.record_answer(reply.status, reply.content_type, reply.body)
            return reply

    async def _attempt_until_answered(self) -> ServiceReply:
        """Attempt the request at one service after another until the policy stops."""
        job = self._job
        self._services.directory.retry_policy(job.route_name).count_request()
        tried: list[EndpointName] = []
        while True:
            endpoint = self._choose_service(tried)
            try:
                return await self._attempt_at(endpoint)
            except EndpointError as exc:
                delay = self._retry_delay(exc)
            tried.append(endpoint)
            await anyio.sleep(delay)

    def _choose_service(self, tried: list[EndpointName]) -> EndpointName:
        """Return a service that was not tried yet, or else any available one."""
        directory = self._services.directory
        job = self._job
        features = RequestFeatures(priority=job.priority)
        try:
            return directory.choose(job.route, features, job.repeatable, tried)
        except RefusedError:
            if not tried:
                raise
            return directory.choose(job.route, features, job.repeatable)

    async def _attempt_at(self, endpoint: EndpointName) -> ServiceReply:
        """Send the request once; raises EndpointError."""
        directory = self._services.directory
        service = directory.service(endpoint)
        if service is None:
            raise refused(
                RefusalReason.NO_ENDPOINT, "", NO_ENDPOINT_RETRY_AFTER_SECONDS
            )
        self._attempts += 1
        timeout = self._timeout()
        started_at = self._services.context.clock()
        result = AttemptResult.CANCELLED
        before = self._run_state
        directory.begin(endpoint)
        self._mark_dispatched()
        try:
            reply = await service.call(self._job.request, timeout)
            result = AttemptResult.SUCCESS
        except EndpointConnectError:
            result = AttemptResult.FAILURE
            self._mark_not_sent(before)
            raise
        except EndpointError:
            result = AttemptResult.FAILURE
            raise
        finally:
            directory.finish(endpoint, result, started_at)
        return reply

    def _timeout(self) -> float:
        """Return the timeout of one call in seconds; raises RefusedError if it is 0.

        Called right before dispatch, so that a process that was paused after its claim
        was won does not send a request whose deadline has passed.
        """
        left = self._job.deadline - self._services.context.clock()
        if left <= 0:
            raise refused(RefusalReason.DEADLINE, "the deadline passed before dispatch")
        return min(left, self._job.route.timeout)

    def _mark_dispatched(self) -> None:
        """Mark the request as sent, in memory: from now on it may have run."""
        self._run_state = combined_run_state(self._run_state, RunState.UNKNOWN)
        if self._claim is not None:
            self._claim.mark_dispatched()

    def _mark_not_sent(self, before: RunState) -> None:
        """Undo ``_mark_dispatched`` after the connection failed."""
        self._run_state = before
        if self._claim is not None:
            self._claim.mark_not_sent()

    def _retry_delay(self, failure: EndpointError) -> float:
        """Return the seconds to the next attempt; raises RefusedError for none."""
        job = self._job
        connect = isinstance(failure, EndpointConnectError)
        reason = RetryReason.CONNECT_FAILED if connect else RetryReason.ENDPOINT_ERROR
        failed = FailedAttempt(
            reason=reason,
            attempts=self._attempts,
            idempotent=job.repeatable,
            run_state=self._run_state,
            deadline=job.deadline,
        )
        policy = self._services.directory.retry_policy(job.route_name)
        decision = policy.decide(failed, self._services.context.clock())
        if isinstance(decision, GiveUp):
            raise RefusedError(decision.refusal)
        self._services.context.metrics.count_retry(decision.reason)
        return decision.delay
