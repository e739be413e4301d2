"""Gets a connection to an endpoint that suits a request."""

from __future__ import annotations

import functools
import time

import anyio

from knapweeddrum.core.placing.endpoint_state import EndpointState
from knapweeddrum.core.placing.endpoint_states import connection_key, instance_name
from knapweeddrum.http.client_connection import ClientConnection
from knapweeddrum.http.exceptions import (
    ConnectionLimitError,
    NoPathError,
    NotSentError,
)
from knapweeddrum.process.entry.attempt_error import AttemptError
from knapweeddrum.process.entry.endpoint_start import ask_start, is_listed_start
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.request_job import RequestJob
from knapweeddrum.process.entry.send_check import require_sendable
from knapweeddrum.value.retry_reason import RetryReason
from knapweeddrum.value.run_state import RunState
from knapweeddrum.value.start_reply import StartReply

ENDPOINT_CONNECT_TIMEOUT_SECONDS = 0.25


async def connect_for(
    ctx: EntryContext, job: RequestJob, state: EndpointState
) -> ClientConnection:
    """Return a connection that suits the request; raises AttemptError."""
    require_sendable(ctx, job, state)
    conn = await _open_connection(ctx, job, state)
    suits = False
    try:
        require_sendable(ctx, job, state)
        is_suitable = await _suits(ctx, job, state, conn)
        require_sendable(ctx, job, state)
        suits = is_suitable
    finally:
        if not suits:
            with anyio.CancelScope(shield=True):
                await ctx.pool.release(connection_key(state.entry), conn)
    if suits:
        return conn
    conn = await _open_connection(ctx, job, state)
    try:
        require_sendable(ctx, job, state)
    except AttemptError:
        with anyio.CancelScope(shield=True):
            await ctx.pool.release(connection_key(state.entry), conn)
        raise
    return conn


async def _suits(
    ctx: EntryContext, job: RequestJob, state: EndpointState, conn: ClientConnection
) -> bool:
    """Return whether a connection can carry the request.

    One that carries a stream that may be resumed is asked which start of the endpoint
    answers on it, unless that is known. Raises AttemptError if a stream that has begun
    must not go on there.
    """
    if not job.route.resumable or is_listed_start(ctx, state, conn):
        return True
    if not ctx.instances.hides_start(instance_name(state.entry)):
        reply = await ask_start(ctx, state, conn)
        if reply is StartReply.NO_REPLY and job.stream_version is None:
            return False
        if reply is StartReply.NO_REPLY:
            raise AttemptError(
                RetryReason.CONNECT_FAILED, RunState.NOT_RUN, "start not told in time"
            )
    if job.stream_version is None or is_listed_start(ctx, state, conn):
        return True
    raise AttemptError(
        RetryReason.RESTARTED,
        RunState.NOT_RUN,
        "another start of the endpoint than the listed one may answer",
    )


async def _open_connection(
    ctx: EntryContext, job: RequestJob, state: EndpointState
) -> ClientConnection:
    entry = state.entry
    connect = functools.partial(
        ctx.connector.connect, entry, ENDPOINT_CONNECT_TIMEOUT_SECONDS
    )
    try:
        return await ctx.pool.acquire(
            connection_key(entry), job.max_connections, connect
        )
    except (ConnectionLimitError, NoPathError) as exc:
        raise AttemptError(
            RetryReason.CONNECT_FAILED, RunState.NOT_RUN, str(exc)
        ) from exc
    except NotSentError as exc:
        state.eject(time.monotonic())
        raise AttemptError(
            RetryReason.CONNECT_FAILED, RunState.NOT_RUN, str(exc)
        ) from exc
