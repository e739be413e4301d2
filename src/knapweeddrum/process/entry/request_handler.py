"""Handling of one admitted request, from token reservation to answer."""

from __future__ import annotations

import time

import anyio

from knapweeddrum.core.placing.endpoint_state import EndpointState
from knapweeddrum.core.placing.endpoint_states import instance_name
from knapweeddrum.core.placing.placer import PlacementRequest
from knapweeddrum.core.prepaid.token_verdict import TokenVerdict
from knapweeddrum.core.routing.failed_attempt import FailedAttempt
from knapweeddrum.core.routing.failover_policy import RETRY_AFTER_FRACTION
from knapweeddrum.core.routing.give_up import GiveUp
from knapweeddrum.http.server_connection import ServerConnection
from knapweeddrum.process.entry.answer_relay import AnswerRelay
from knapweeddrum.process.entry.attempt_error import AttemptError
from knapweeddrum.process.entry.crash_records import (
    choose_apart_from_suspects,
    crash_constraints,
)
from knapweeddrum.process.entry.endpoint_attempt import (
    endpoint_attempt,
    is_endpoints_loss,
)
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.refused_error import RefusedError
from knapweeddrum.process.entry.request_admission import refused
from knapweeddrum.process.entry.request_job import RequestJob
from knapweeddrum.process.entry.request_log import RequestLog
from knapweeddrum.process.entry.request_parts import RequestParts
from knapweeddrum.value.refusal_reason import RefusalReason
from knapweeddrum.value.retry_reason import NOT_SENT_REASONS, RetryReason
from knapweeddrum.value.run_state import RunState

REASON_BY_VERDICT = {
    TokenVerdict.EXHAUSTED: RefusalReason.BUDGET_EXHAUSTED,
    TokenVerdict.HELD_ELSEWHERE: RefusalReason.TOKENS_HELD_ELSEWHERE,
    TokenVerdict.UNKNOWN: RefusalReason.TOKENS_UNKNOWN,
    TokenVerdict.UNREACHABLE: RefusalReason.BUDGET_UNREACHABLE,
}

MIN_SPREAD = 0.5
"""Least part of the usual retry-after that callers of a full host are told."""

WAIT_HISTOGRAM = "token_wait"
"""Histogram of how long requests wait for prepaid tokens."""


class RequestHandler:
    """Reserves tokens for a request, then attempts it until an answer or a refusal."""

    def __init__(
        self,
        ctx: EntryContext,
        parts: RequestParts,
        caller: ServerConnection,
        job: RequestJob,
    ) -> None:
        self._ctx = ctx
        self._allocator = parts.allocator
        self._stream_origins = parts.stream_origins
        self._permits = parts.permits
        self._job = job
        self._policy = ctx.failover_policy(job.service, time.monotonic())
        self._log = RequestLog(ctx, job)
        self._caller = caller
        self._relay = AnswerRelay(
            caller, job, self._log, parts.stream_origins, ctx.connector
        )
        self._last_failure: AttemptError | None = None
        self.spent = 0
        """Prepaid tokens charged for the request, set when it ends."""

    async def handle(self) -> None:
        """Answer the caller; raises RefusedError if no answer was started.

        Raises AttemptError when an answer breaks off after its start, and
        PeerDisconnectedError when the caller has disconnected.
        """
        suspects = (self._job.fingerprint, *self._job.suspect_parts)
        self._job.earlier_crashes = self._ctx.crash_register.most_crashes(
            suspects, time.time()
        )
        crash_constraints(self._ctx, self._job)
        if self._job.takes_up_stream:
            await self._find_origin()
        organisation = self._prepaid_organisation()
        reserved = self._job.reserved_tokens if organisation is not None else 0
        if organisation is not None and reserved:
            await self._reserve(organisation, reserved)
        self._policy.count_request(time.monotonic())
        try:
            await self._attempt_until_answered()
        finally:
            if organisation is not None and reserved:
                self.spent = self._relay.tokens_to_charge()
                self._allocator.settle(organisation, reserved, self.spent)

    async def _find_origin(self) -> None:
        """Find out where the stream that is taken up may go on."""
        job = self._job
        origin = await self._stream_origins.find(job)
        if origin is None:
            retry_after = self._policy.retry_after(job.deadline, time.monotonic())
            raise refused(RefusalReason.STREAM_VERSION_UNKNOWN, retry_after=retry_after)
        job.stream_version = origin.software_version
        if origin.service != job.service and origin.service in job.route.service_names:
            job.service = origin.service
            self._policy = self._ctx.failover_policy(job.service, time.monotonic())
        if origin.service != job.service or not self._eligible_states():
            retry_after = self._policy.retry_after(job.deadline, time.monotonic())
            raise refused(RefusalReason.STREAM_VERSION_GONE, retry_after=retry_after)

    def _prepaid_organisation(self) -> str | None:
        name = self._job.organisation_name
        if name is None or not self._ctx.token_accounts.is_prepaid(name):
            return None
        return name

    async def _reserve(self, organisation: str, tokens: int) -> None:
        started_at = time.monotonic()
        verdict = await self._allocator.reserve(organisation, tokens)
        self._ctx.metrics.timing(WAIT_HISTOGRAM, time.monotonic() - started_at)
        if verdict is TokenVerdict.RESERVED:
            return
        retry_after = None
        if verdict is not TokenVerdict.EXHAUSTED:
            # Other hosts could not lend the tokens either; some may be free later.
            time_left = self._job.deadline - time.monotonic()
            retry_after = max(0.01, time_left * RETRY_AFTER_FRACTION * self._spread())
        detail = f"wants {tokens} tokens: {self._allocator.describe(organisation)}"
        raise refused(REASON_BY_VERDICT[verdict], RunState.NOT_RUN, retry_after, detail)

    def _spread(self) -> float:
        """Return a factor by which callers of a full host come back apart."""
        if not self._ctx.link_load.sheds:
            return 1.0
        return self._ctx.rng.uniform(MIN_SPREAD, 1.0)

    async def _attempt_until_answered(self) -> None:
        with anyio.CancelScope(deadline=self._job.deadline) as scope:
            while True:
                await self._caller.notice_disconnect()
                state = await self._permits.choose(
                    self._choose_endpoint, self._candidates, self._job.deadline
                )
                job = self._job
                job.permit_at = self._permits.permit_time(state)
                try:
                    await self._attempt(state)
                    return
                except AttemptError as exc:
                    self._retry_or_raise(exc)
        if scope.cancelled_caught:
            self._raise_deadline_error()

    def _raise_deadline_error(self) -> None:
        job = self._job
        if self._relay.started:
            raise AttemptError(
                RetryReason.DEADLINE, RunState.UNKNOWN, "deadline passed"
            )
        if job.may_have_run:
            detail = f"no answer from {job.endpoint_id}"
            raise refused(RefusalReason.DEADLINE, RunState.UNKNOWN, detail=detail)
        raise refused(RefusalReason.NO_ENDPOINT, retry_after=0.01)

    async def _attempt(self, state: EndpointState) -> None:
        job = self._job
        resume_after = self._relay.last_event_id or job.req.resume_after
        job.endpoint_id = state.entry.endpoint_id
        job.via = ""
        job.answer_framing = None
        job.rest_bytes = 0
        job.tried.add(job.endpoint_id)
        self._log.attempt_starting(state, resume_after)
        async with endpoint_attempt(self._ctx, job, state, resume_after) as answer:
            job.answer_framing = answer.head.framing
            if answer.head.status >= 500 and self._may_retry_error():
                raise AttemptError(
                    RetryReason.ENDPOINT_ERROR,
                    RunState.RAN,
                    f"status {answer.head.status}",
                )
            await self._relay.relay(answer)

    def _may_retry_error(self) -> bool:
        route = self._job.route
        return route.idempotent and self._job.sends < route.max_attempts

    def _choose_endpoint(self) -> EndpointState:
        job = self._job
        prompt = job.req.prompt
        constraints = crash_constraints(self._ctx, job)
        has_affinity = job.route.session_affinity and not constraints.suspect
        session = prompt.session if prompt is not None and has_affinity else ""
        states = [s for s in self._eligible_states() if self._permits.may_ask(s)]
        placement = PlacementRequest(
            session=session,
            data_centre=self._ctx.settings.data_centre,
            exclude=frozenset(job.tried),
            connected=frozenset() if session else self._connected_endpoints(),
            may_probe=job.route.idempotent,
            prompt=job.prompt_parts,
            target_latency=job.route.target_latency,
        )
        state = choose_apart_from_suspects(self._ctx, states, placement, constraints)
        if state is None:
            raise self._no_endpoint_error()
        return state

    def _connected_endpoints(self) -> frozenset[str]:
        keys = self._ctx.pool.idle_keys()
        return frozenset(key.partition("/")[0] for key in keys)

    def _eligible_states(self) -> list[EndpointState]:
        """Return the endpoints that may run the request, healthy or not."""
        ctx = self._ctx
        job = self._job
        if job.stream_version is None:
            return ctx.in_use(ctx.endpoint_states.of_service(job.service))
        now = time.monotonic()
        states = ctx.endpoint_states.of_version(job.service, job.stream_version)
        return [
            state
            for state in ctx.in_use(states)
            if ctx.endpoint_history.takes_streams(state, ctx.settings.drain_delay, now)
            and not ctx.instances.has_ended(instance_name(state.entry))
        ]

    def _candidates(self) -> list[EndpointState]:
        """Return the endpoints that the request was not sent to."""
        tried = self._job.tried
        return [s for s in self._eligible_states() if s.entry.endpoint_id not in tried]

    def _no_endpoint_error(self) -> RefusedError | AttemptError:
        job = self._job
        if self._relay.started and self._last_failure is not None:
            return self._last_failure
        if job.may_have_run and self._last_failure is not None:
            return refused(RefusalReason.ENDPOINT_FAILED, self._last_failure.run_state)
        now = time.monotonic()
        waits = [state.notices.back_off_left(now) for state in self._eligible_states()]
        if waits and min(waits) > 0:
            retry_after = min(min(waits), (job.deadline - now) * RETRY_AFTER_FRACTION)
            return refused(
                RefusalReason.ENDPOINTS_BACK_OFF, retry_after=max(0.01, retry_after)
            )
        retry_after = self._policy.retry_after(job.deadline, now)
        permit_wait = self._permits.soonest(self._candidates())
        if permit_wait > 0:
            spread = permit_wait * self._ctx.rng.uniform(1.0, 2.0)
            most = (job.deadline - now) * RETRY_AFTER_FRACTION
            retry_after = max(retry_after, min(spread, most))
            return refused(RefusalReason.ENDPOINTS_LIMITED, retry_after=retry_after)
        return refused(RefusalReason.NO_ENDPOINT, retry_after=retry_after)

    def _retry_or_raise(self, exc: AttemptError) -> None:
        """Return if the request is to be retried, else raise its final error."""
        job = self._job
        now = time.monotonic()
        self._log.attempt_failed(exc)
        if exc.reason is RetryReason.PERMIT_LAPSED:
            # The endpoint may be asked for another permit.
            job.tried.discard(job.endpoint_id)
        if exc.reason in NOT_SENT_REASONS:
            job.connect_failures += 1
        elif exc.run_state is RunState.NOT_RUN:
            job.refused_sends += 1
        elif is_endpoints_loss(exc.__cause__):
            job.lost_connections += 1
        self._last_failure = exc
        failure = FailedAttempt(
            reason=exc.reason,
            attempts=job.sends,
            idempotent=job.route.idempotent,
            run_state=RunState.UNKNOWN if job.may_have_run else RunState.NOT_RUN,
            deadline=job.deadline,
            retry_after=exc.retry_after,
            connect_failures=job.connect_failures,
            crashes=self._crashes_after(exc),
        )
        decision = self._policy.decide(failure, job.route.max_attempts, now)
        if not isinstance(decision, GiveUp):
            self._log.retried(decision.reason, self._policy.budget)
            self._relay.prepare_retry()
            return
        if self._relay.started:
            raise exc
        raise RefusedError(decision.refusal) from exc

    def _crashes_after(self, exc: AttemptError) -> int:
        """Return the crashes to count after a failure, 0 if it did not run there."""
        if exc.run_state is RunState.NOT_RUN:
            return 0
        return self._job.earlier_crashes + self._job.lost_connections
