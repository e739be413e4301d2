"""The execution of one request for a model route."""

from __future__ import annotations

import dataclasses

import anyio
import msgspec

from knapweeddrum.core.admission.admission_request import AdmissionRequest
from knapweeddrum.message.call.claim_reply import ClaimReply
from knapweeddrum.process.router.answer_feed import AnswerFeed
from knapweeddrum.process.router.exceptions import RefusedError, refused
from knapweeddrum.process.router.model_dispatch import ModelDispatch
from knapweeddrum.process.router.model_job import ModelJob
from knapweeddrum.process.router.recorded_answer import RecordedAnswer
from knapweeddrum.process.router.response_writer import JSON_CONTENT_TYPE
from knapweeddrum.process.router.run_ending import RunEnding
from knapweeddrum.process.router.run_services import RunServices
from knapweeddrum.process.router.run_states import combined_run_state
from knapweeddrum.value.documents import MalformedDocumentError, decode_json
from knapweeddrum.value.refusal import Refusal
from knapweeddrum.value.refusal_reason import RefusalReason
from knapweeddrum.value.run_state import RunState

ANSWERED_STATUS = 200
STOPPED_RETRY_AFTER_SECONDS = 1.0


class ModelRun:
    """Carries one request from admission to its end.

    Runs in its own task, so that the same request sent again can attach to it:
    ``feed`` receives the parts of the answer and then one RunEnding.
    """

    def __init__(self, job: ModelJob, services: RunServices) -> None:
        self.job = job
        self.feed = AnswerFeed()
        self.is_abandoned = False
        self._is_stopped = False
        self._services = services
        self._scope = anyio.CancelScope()
        self._request_ended = anyio.Event()
        self._dispatch = ModelDispatch(
            job, services, self.feed.publish, self._request_ended
        )

    def on_caller_left(self) -> None:
        """Cancel the run at its engine, unless its outcome is to be recorded.

        A claimed request goes on: its caller may ask for the recorded answer later.
        """
        if self.job.claim_key or self.feed.ending is not None:
            return
        self.is_abandoned = True
        self._scope.cancel()

    def stop(self) -> None:
        """Cancel the run at its engine because the router stops."""
        self._is_stopped = True
        self._scope.cancel()

    async def execute(self) -> None:
        """Run until the feed has its RunEnding."""
        try:
            ending = await self._run_until_deadline()
        except RefusedError as exc:
            ending = RunEnding(refusal=self._with_run_state(exc.refusal))
        finally:
            self._request_ended.set()
        self.feed.finish(ending)

    def fail(self) -> None:
        """End the feed after an unexpected error."""
        refusal = Refusal(RefusalReason.ENDPOINT_FAILED, detail="internal error")
        self.feed.finish(RunEnding(refusal=self._with_run_state(refusal)))

    def _with_run_state(self, refusal: Refusal) -> Refusal:
        """Return the refusal with the run state that all attempts together give."""
        run_state = combined_run_state(refusal.run_state, self._dispatch.run_state)
        return dataclasses.replace(refusal, run_state=run_state)

    async def _run_until_deadline(self) -> RunEnding:
        """Run until the deadline or until the caller leaves."""
        left = self.job.deadline - self._services.context.clock()
        self._scope.deadline = anyio.current_time() + max(0.0, left)
        with self._scope:
            return await self._run_admitted()
        if self._is_stopped:
            raise refused(
                RefusalReason.DRAINING,
                "the router had to stop",
                STOPPED_RETRY_AFTER_SECONDS,
            )
        raise refused(RefusalReason.DEADLINE, "the deadline passed")

    async def _run_admitted(self) -> RunEnding:
        """Run while holding an admission slot of the route."""
        job = self.job
        req = AdmissionRequest(
            request_id=self._services.context.new_id(),
            route=job.route_name,
            organisation=job.organisation,
            deadline=job.deadline,
            priority=job.priority,
            weight=job.weight,
            cost=job.worst_case,
        )
        async with self._services.admission.slot(req):
            if job.claim_key:
                return await self._run_claimed()
            return await self._dispatch.run()

    async def _run_claimed(self) -> RunEnding:
        """Run at most once for the claim key, or publish the recorded answer.

        The outcome is recorded before the caller receives the end of the answer.
        """
        job = self.job
        claims = self._services.claims
        with claims.open_claim(job.claim_key) as claim:
            recorded = await claims.acquire(claim, job.fingerprint, job.deadline)
            if recorded is not None:
                return self._publish_recorded(recorded)
            try:
                ending = await self._dispatch.run(claim)
            except RefusedError as exc:
                await claim.record_no_answer()
                raise RefusedError(self._claimed_refusal(exc.refusal)) from exc
            answer = RecordedAnswer.of(self.feed.parts, ending)
            await claim.record_answer(
                ANSWERED_STATUS, JSON_CONTENT_TYPE, msgspec.json.encode(answer)
            )
            return ending

    def _publish_recorded(self, recorded: ClaimReply) -> RunEnding:
        """Publish a recorded answer."""
        try:
            answer = decode_json(recorded.body, RecordedAnswer)
        except MalformedDocumentError as exc:
            raise refused(
                RefusalReason.KEY_EXPIRED,
                "the request ran, but its recorded answer cannot be decoded",
                run_state=RunState.RAN,
            ) from exc
        self.feed.publish(answer.part())
        return answer.ending()

    def _claimed_refusal(self, refusal: Refusal) -> Refusal:
        """Return the refusal of a claimed request.

        One that may have run must not be sent again, so no retry delay is given.
        """
        if self._dispatch.run_state is RunState.NOT_RUN:
            return refusal
        return Refusal(
            RefusalReason.OUTCOME_UNKNOWN,
            self._dispatch.run_state,
            detail=refusal.detail,
        )
