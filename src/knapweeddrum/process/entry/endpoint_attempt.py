"""One attempt to get a request answered by an endpoint."""

from __future__ import annotations

import contextlib
import dataclasses
import time
from collections.abc import AsyncIterator

import anyio

from knapweeddrum.core.admission.run_end import RunEnd
from knapweeddrum.core.placing.endpoint_state import EndpointState
from knapweeddrum.core.placing.endpoint_states import connection_key, instance_name
from knapweeddrum.core.routing.attempt_result import AttemptResult
from knapweeddrum.http.client_connection import ClientConnection
from knapweeddrum.http.exceptions import (
    EndlessReplyError,
    MalformedReplyError,
    NoReplyError,
    NotSentError,
    PathCutError,
)
from knapweeddrum.platform.endpoint_protocol import (
    EndpointReplyHead,
    decode_reply_head,
    request_headers,
)
from knapweeddrum.process.entry.attempt_error import AttemptError
from knapweeddrum.process.entry.endpoint_connection import connect_for
from knapweeddrum.process.entry.endpoint_start import serving_version
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.lost_connection import LossCause, LostConnection
from knapweeddrum.process.entry.notice_recorder import record_notices
from knapweeddrum.process.entry.request_job import RequestJob
from knapweeddrum.telemetry.counters import FIRST_ARRIVALS, REPEATED_ARRIVALS
from knapweeddrum.value.retry_reason import RetryReason
from knapweeddrum.value.run_state import RunState

MAX_DISCARDED_BODY_BYTES = 65_536
MAX_DISCARD_SECONDS = 0.1
MAX_SKIPPED_REPLIES = 8
"""Answers to earlier requests that may precede the right one on a connection."""
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that tell a caller that its request has not run.

An endpoint's reply with one of them is not passed on, as the request may have run.
"""
ENDPOINT_BUSY_RETRY_AFTER_SECONDS = 0.1


@dataclasses.dataclass(slots=True)
class EndpointAnswer:
    """An answer whose body is still to be read."""

    head: EndpointReplyHead
    state: EndpointState
    conn: ClientConnection
    software_version: str
    """Version of the endpoint that answers, unknown if it may be another start."""
    first_chunk_received: bool = False

    async def next_data(self) -> bytes | None:
        """Return the next bytes of the body, None at its end; raises AttemptError."""
        try:
            data = await self.conn.next_data()
        except NoReplyError as exc:
            raise _broken_answer_error(exc) from exc
        self.record_data()
        return data

    def record_data(self) -> None:
        """Record that data arrived, unless another endpoint at the address sent it."""
        if not self.head.moved:
            is_direct = not self.conn.via
            self.state.record_data(time.monotonic(), is_direct=is_direct)


@contextlib.asynccontextmanager
async def endpoint_attempt(
    ctx: EntryContext, job: RequestJob, state: EndpointState, resume_after: str
) -> AsyncIterator[EndpointAnswer]:
    """Send a request and yield its answer; raises AttemptError.

    Leaving the context before the end of the body closes the connection, which makes
    the endpoint cancel the request.
    """
    conn = await connect_for(ctx, job, state)
    job.via = conn.via
    key = connection_key(state.entry)
    now = time.monotonic()
    # Callers may use one identifier for several requests at a time.
    attempt = f"{job.req.attempt_id}/{next(ctx.attempt_numbers)}"
    ctx.metrics.count(REPEATED_ARRIVALS if job.sends else FIRST_ARRIVALS)
    job.sends += 1
    state.start_attempt(attempt, job.input_tokens, now, job.prompt_parts)
    ctx.open_attempts[attempt] = state
    ctx.crash_register.begin(
        attempt, job.fingerprint, instance_name(state.entry), job.suspect_parts
    )
    answer: EndpointAnswer | None = None
    result = AttemptResult.CANCELLED
    is_lost = False
    try:
        headers = request_headers(
            job.req,
            state.entry,
            job.organisation_name,
            job.priority,
            job.deadline - now,
            resume_after,
            len(job.body),
        )
        sending = conn.exchange(job.req.method, job.req.target, headers, job.body)
        async with sending as raw_head:
            head = await _head_of_request(job, conn, decode_reply_head(raw_head))
            version = serving_version(ctx, state, conn)
            answer = EndpointAnswer(head, state, conn, version)
            answer.record_data()
            if not head.moved:
                record_notices(ctx, state, head, now)
            await _check_head(answer)
            began_at = time.monotonic()
            state.record_answer_start(attempt, job.input_tokens, began_at)
            ctx.link_load.record_work(began_at - now, began_at)
            yield answer
        result = _result_of_answer(head)
    except AttemptError as exc:
        result = _result_of_failure(exc)
        is_lost = is_endpoints_loss(exc.__cause__)
        if isinstance(exc.__cause__, PathCutError):
            result = AttemptResult.CANCELLED
        raise
    except NotSentError as exc:
        raise AttemptError(
            RetryReason.ENDPOINT_ERROR, RunState.NOT_RUN, str(exc)
        ) from exc
    except NoReplyError as exc:
        is_lost = is_endpoints_loss(exc)
        if is_lost:
            result = AttemptResult.FAILURE
        raise _broken_answer_error(exc) from exc
    finally:
        del ctx.open_attempts[attempt]
        _record_run_end(ctx, attempt, state, result, is_lost)
        if result is AttemptResult.CANCELLED and answer and answer.first_chunk_received:
            result = AttemptResult.SUCCESS
        state.end_attempt(attempt, job.input_tokens, result, now, time.monotonic())
        with anyio.CancelScope(shield=True):
            await ctx.pool.release(key, conn)


def _record_run_end(
    ctx: EntryContext,
    attempt: str,
    state: EndpointState,
    result: AttemptResult,
    is_lost: bool,
) -> None:
    """Record how a run ended, for the recognition of requests that crash endpoints."""
    now = time.monotonic()
    cause = LossCause.CONNECTION_LOST if is_lost else None
    if result is AttemptResult.CANCELLED and state.is_unresponsive(now):
        # The endpoint may have ended without closing its connections.
        cause = LossCause.NO_ANSWER
    run_end = RunEnd.CANCELLED
    if cause is not None:
        run_end = RunEnd.CUT
    elif result is AttemptResult.SUCCESS:
        run_end = RunEnd.COMPLETED
    ctx.crash_register.end(attempt, run_end, time.time())
    if cause is not None:
        with contextlib.suppress(anyio.WouldBlock):
            ctx.losses.send_nowait(LostConnection(state, now, cause))


async def _head_of_request(
    job: RequestJob, conn: ClientConnection, head: EndpointReplyHead
) -> EndpointReplyHead:
    """Return the head of the request's own answer; skip answers to earlier requests."""
    for _ in range(MAX_SKIPPED_REPLIES):
        if not head.attempt_id or head.attempt_id == job.req.attempt_id:
            return head
        await conn.skip_reply()
        head = decode_reply_head(await conn.next_head())
    raise EndlessReplyError(f"{MAX_SKIPPED_REPLIES} answers to other requests")


async def _check_head(answer: EndpointAnswer) -> None:
    """Raise AttemptError unless the answer may be passed on to the caller."""
    head = answer.head
    if head.moved:
        await _discard_body(answer)
        raise AttemptError(
            RetryReason.MOVED,
            RunState.NOT_RUN,
            "the address belongs to another endpoint",
        )
    if head.not_run:
        await _discard_body(answer)
        raise AttemptError(
            RetryReason.ENDPOINT_BUSY,
            RunState.NOT_RUN,
            f"refused with status {head.status}",
            ENDPOINT_BUSY_RETRY_AFTER_SECONDS,
        )
    if head.has_content_encoding or (
        head.status < 300 and not (head.stamped and head.attempt_id)
    ):
        raise AttemptError(
            RetryReason.MALFORMED_ANSWER,
            RunState.UNKNOWN,
            "no stamp, no attempt id, or a content encoding",
        )
    if head.status in NOT_RUN_STATUSES:
        await _discard_body(answer)
        raise AttemptError(
            RetryReason.ENDPOINT_ERROR,
            RunState.UNKNOWN,
            f"status {head.status} does not tell whether the request ran",
        )


async def _discard_body(answer: EndpointAnswer) -> None:
    """Discard a short body so that the connection can be reused.

    One that is longer or slower is left, which closes the connection.
    """
    read = 0
    with anyio.move_on_after(MAX_DISCARD_SECONDS):
        while (data := await answer.next_data()) is not None:
            read += len(data)
            if read > MAX_DISCARDED_BODY_BYTES:
                return


def is_endpoints_loss(exc: BaseException | None) -> bool:
    """Return whether a connection was lost and its endpoint may be the cause."""
    return isinstance(exc, NoReplyError) and not isinstance(exc, PathCutError)


def _broken_answer_error(exc: NoReplyError) -> AttemptError:
    reason = RetryReason.CONNECTION_LOST
    if isinstance(exc, EndlessReplyError):
        reason = RetryReason.ENDLESS_ANSWER
    elif isinstance(exc, MalformedReplyError):
        reason = RetryReason.MALFORMED_ANSWER
    return AttemptError(reason, RunState.UNKNOWN, str(exc))


def _result_of_failure(exc: AttemptError) -> AttemptResult:
    if exc.reason is RetryReason.ENDPOINT_BUSY:
        return AttemptResult.BUSY
    return AttemptResult.FAILURE


def _result_of_answer(head: EndpointReplyHead) -> AttemptResult:
    return AttemptResult.FAILURE if head.status >= 500 else AttemptResult.SUCCESS
