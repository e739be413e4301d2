"""Log events and metrics of one request."""

from __future__ import annotations

import time

from knapweeddrum.core.catalog.endpoint_entry import EndpointEntry
from knapweeddrum.core.placing.endpoint_state import EndpointState
from knapweeddrum.core.routing.answer_verdict import AnswerVerdict
from knapweeddrum.core.routing.retry_window import RetryWindow
from knapweeddrum.process.entry.attempt_error import AttemptError
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.request_job import RequestJob
from knapweeddrum.telemetry import counters
from knapweeddrum.telemetry.entry_events import (
    ANSWER_CUT,
    ATTEMPT_FAILED,
    REQUEST_ABANDONED,
    REQUEST_ANSWERED,
    REQUEST_RETRIED,
    REQUEST_SENT,
    STREAM_RESUMED,
)
from knapweeddrum.value.retry_reason import RetryReason

MAX_LOGGED_ID_CHARS = 64
"""Part of an identifier chosen by others that is logged."""

NEVER_READ_MS = -1
"""Logged as the age of data that was never read."""


class RequestLog:
    """Logs one event for each decision about the request."""

    def __init__(self, ctx: EntryContext, job: RequestJob) -> None:
        self._ctx = ctx
        self._job = job

    def attempt_starting(self, state: EndpointState, resume_after: str) -> None:
        """Log an attempt before it is sent, and why its endpoint was chosen."""
        ctx = self._ctx
        job = self._job
        now = time.monotonic()
        ctx.events.emit(
            REQUEST_SENT,
            request=job.req.attempt_id,
            fingerprint=job.fingerprint,
            route=job.route.name,
            organisation=job.organisation_name,
            service=job.service,
            endpoint=state.entry.endpoint_id,
            software_version=state.entry.software_version,
            resumes=job.req.resumed_attempt[:MAX_LOGGED_ID_CHARS],
            after_event=resume_after[:MAX_LOGGED_ID_CHARS],
            attempt=job.sends + 1,
            load=state.load(now),
            list_version=ctx.service_list.version,
            list_age_ms=milliseconds(now - ctx.service_list_read_at),
            config_version=job.config_version,
            tokens=job.reserved_tokens,
            time_left_ms=milliseconds(job.deadline - now),
        )

    def retried(self, reason: RetryReason, budget: RetryWindow) -> None:
        """Log that another endpoint is tried, and what is left for further retries."""
        job = self._job
        self._ctx.metrics.count_retry(reason)
        self._ctx.events.emit(
            REQUEST_RETRIED,
            request=job.req.attempt_id,
            service=job.service,
            reason=reason,
            retries_left=round(budget.left(time.monotonic()), 2),
            retries_limit=round(budget.limit, 2),
            hosts=self._ctx.hosts.running_count(),
        )

    def attempt_failed(self, exc: AttemptError) -> None:
        """Log an attempt that failed."""
        self._ctx.events.emit(
            ATTEMPT_FAILED,
            request=self._job.req.attempt_id,
            endpoint=self._job.endpoint_id,
            via=self._job.via,
            reason=exc.reason,
            run_state=exc.run_state,
            error=str(exc),
            framing=self._job.answer_framing,
            rest_bytes=self._job.rest_bytes,
            after_ms=self._elapsed_ms(),
        )

    def resumed(self, entry: EndpointEntry, after_event: str) -> None:
        """Log a stream that continues at another endpoint."""
        self._ctx.events.emit(
            STREAM_RESUMED,
            request=self._job.req.attempt_id,
            endpoint=entry.endpoint_id,
            software_version=entry.software_version,
            after_event=after_event,
        )

    def answer_ended(self, verdict: AnswerVerdict) -> None:
        """Count how an answer of an endpoint ended."""
        self._ctx.metrics.count(counters.answer_end_counter(verdict.reason))

    def answered(self, status: int, tokens_spent: int) -> None:
        """Log an answer that was passed on completely, and record its latencies."""
        job = self._job
        now = time.monotonic()
        first_chunk_latency = (job.first_chunk_at or now) - job.arrived_at
        metrics = self._ctx.metrics
        metrics.count(counters.answer_counter(job.route.kind, status))
        metrics.timing(f"first_piece.{job.route.kind}", first_chunk_latency)
        metrics.timing(f"answer.{job.route.kind}", now - job.arrived_at)
        self._ctx.events.emit(
            REQUEST_ANSWERED,
            request=job.req.attempt_id,
            endpoint=job.endpoint_id,
            via=job.via,
            status=status,
            framing=job.answer_framing,
            rest_bytes=job.rest_bytes,
            first_ms=milliseconds(first_chunk_latency),
            total_ms=self._elapsed_ms(),
            tokens_spent=tokens_spent,
        )

    def abandoned(self, tokens_spent: int) -> None:
        """Log a request whose caller has disconnected."""
        self._ctx.metrics.count(counters.ABANDONED)
        self._ctx.events.emit(
            REQUEST_ABANDONED,
            request=self._job.req.attempt_id,
            after_ms=self._elapsed_ms(),
            sent=self._job.sends,
            tokens_spent=tokens_spent,
        )

    def cut(self, exc: AttemptError, tokens_spent: int) -> None:
        """Log an answer that broke off after its start."""
        self._ctx.metrics.count(counters.ANSWER_CUT)
        self._ctx.events.emit(
            ANSWER_CUT,
            request=self._job.req.attempt_id,
            reason=exc.reason,
            after_ms=self._elapsed_ms(),
            tokens_spent=tokens_spent,
        )

    def _elapsed_ms(self) -> int:
        return milliseconds(time.monotonic() - self._job.arrived_at)


def milliseconds(seconds: float) -> int:
    """Return a duration for a log event, NEVER_READ_MS if it is infinite."""
    return NEVER_READ_MS if seconds == float("inf") else int(seconds * 1000)
