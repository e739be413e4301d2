"""Serves the requests of one caller's connection."""

from __future__ import annotations

import time
from typing import NoReturn

import anyio
from anyio.abc import SocketStream

from knapweeddrum.core.catalog.caller_limits import CallerLimits
from knapweeddrum.http.connection_room import ConnectionRoom
from knapweeddrum.http.exceptions import (
    MalformedRequestError,
    NoRoomError,
    PeerDisconnectedError,
)
from knapweeddrum.http.server_connection import ReceivedRequest, ServerConnection
from knapweeddrum.platform.caller_protocol import decode_request
from knapweeddrum.platform.caller_request import CallerRequest
from knapweeddrum.platform.endpoint_protocol import refusal_headers
from knapweeddrum.process.entry.attempt_error import AttemptError
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.refused_error import RefusedError
from knapweeddrum.process.entry.request_admission import (
    DRAINING_RETRY_AFTER_SECONDS,
    RequestAdmission,
    no_room_error,
    refused,
)
from knapweeddrum.process.entry.request_handler import RequestHandler
from knapweeddrum.process.entry.request_job import RequestJob
from knapweeddrum.process.entry.request_log import RequestLog, milliseconds
from knapweeddrum.process.entry.request_parts import RequestParts
from knapweeddrum.process.router.problem import STATUS_BY_REASON, Problem
from knapweeddrum.telemetry.entry_events import REQUEST_REFUSED
from knapweeddrum.telemetry.events import TASK_FAILED
from knapweeddrum.value.link_source import LinkSource
from knapweeddrum.value.refusal import Refusal
from knapweeddrum.value.refusal_reason import RefusalReason
from knapweeddrum.value.run_state import RunState

REASON_BY_STATUS = {
    408: RefusalReason.BODY_LATE,
    413: RefusalReason.BODY_TOO_LARGE,
    431: RefusalReason.HEAD_TOO_LARGE,
}
"""Refusal reasons of malformed requests by status; any other is BAD_REQUEST."""

FIRST_REQUEST_WAIT_SECONDS = 0.25
"""Time after its opening for which a connection waits for a request in any case."""


class CallerSession:
    """Reads requests in order and answers each."""

    def __init__(
        self,
        ctx: EntryContext,
        parts: RequestParts,
        stream: SocketStream,
        room: ConnectionRoom | None = None,
    ) -> None:
        self._ctx = ctx
        self._parts = parts
        self._limits = _limits(ctx)
        self._conn = ServerConnection(
            stream,
            self._limits.max_header_bytes,
            self._is_closing,
            ctx.receiver(LinkSource.CALLERS),
            room,
        )
        self._admission = RequestAdmission(ctx)
        self._is_ending = False
        """Whether no more requests are read from the connection."""
        self._first_request_due = time.monotonic() + FIRST_REQUEST_WAIT_SECONDS
        self.request_id = ""
        """Identifier of the request that is being served, empty for none."""
        self.is_receiving = False
        """Whether the body of a request has begun to come in and isn't whole."""
        self._work: anyio.CancelScope | None = None
        """Scope of what is done for the request until its answer begins."""
        self._deadline = float("inf")
        """Deadline of the request whose body is being received."""

    async def run(self) -> None:
        """Serve until the connection ends."""
        try:
            while await self._serve_next():
                pass
        except PeerDisconnectedError:
            await self._conn.abort()
            return
        except AttemptError:
            # Part of the answer was sent; abort so that it can't look complete.
            await self._conn.abort()
            return
        self._is_ending = True
        await self._conn.close()

    async def abort(self) -> None:
        """Close the connection at once."""
        await self._conn.abort()

    @property
    def is_unanswered(self) -> bool:
        """Return whether anything was received that has no whole answer yet."""
        if self._is_ending:
            return False
        return not self._conn.is_waiting or self._conn.has_pending_input()

    def end_if_idle(self) -> None:
        """End the connection unless a request has been received on it, or is due."""
        if self._conn.is_waiting and time.monotonic() >= self._first_request_due:
            self._conn.stop_reading()

    def give_up(self) -> None:
        """Refuse the request that is being received or served, if no answer began."""
        if self._work is not None and not self._conn.has_begun_reply:
            self._work.cancel()

    def refuse_late_body(self, ends_at: float) -> None:
        """Refuse a request whose body isn't whole and that may last beyond a time."""
        if self.is_receiving and self._deadline > ends_at:
            self.give_up()

    async def _serve_next(self) -> bool:
        """Serve one request; return whether another may follow."""
        limits = _limits(self._ctx)
        try:
            received = await self._conn.next_request(
                limits.idle_timeout, limits.header_timeout
            )
        except MalformedRequestError as exc:
            await self._refuse_malformed(exc, time.monotonic())
            return False
        if received is None:
            return False
        self._first_request_due = float("-inf")
        self._ctx.in_progress += 1
        self._ctx.last_request_at = time.monotonic()
        self._ctx.request_rate.count(self._ctx.last_request_at)
        try:
            if not await self._serve(received):
                return False
        finally:
            self._ctx.in_progress -= 1
            self.request_id = ""
            self.is_receiving = False
            self._work = None
        return self._conn.finish()

    def _is_closing(self) -> bool:
        """Return whether answers tell callers to leave this connection."""
        now = time.monotonic()
        if now >= self._ctx.drain_refuses_from:
            return True
        # A caller who keeps a connection isn't held back by a closed listener.
        return self._ctx.link_load.is_late(now)

    async def _serve(self, received: ReceivedRequest) -> bool:
        """Answer a request; return whether the connection can be reused."""
        arrived_at = time.monotonic()
        self.request_id = ""
        job: RequestJob | None = None
        try:
            limits = _limits(self._ctx)
            req = decode_request(received)
            self.request_id = req.attempt_id
            self._deadline = self._admission.deadline(req, arrived_at)
            body = await self._read_body(limits)
            job = self._admit(req, body, arrived_at)
            await self._run_until_disconnect(job)
        except MalformedRequestError as exc:
            await self._refuse_malformed(exc, arrived_at)
            return False
        except RefusedError as exc:
            await self._refuse(exc.refusal, job, arrived_at)
        return True

    async def _read_body(self, limits: CallerLimits) -> bytes:
        """Return the body; raises RefusedError if it is given up before its end."""
        self.is_receiving = True
        with anyio.CancelScope() as self._work:
            try:
                body = await self._conn.read_body(
                    limits.max_body_bytes, limits.idle_timeout
                )
            except NoRoomError as exc:
                time_left = self._deadline - time.monotonic()
                raise no_room_error(self._ctx, time_left, str(exc)) from exc
            self.is_receiving = False
            return body
        raise refused(
            RefusalReason.DRAINING,
            retry_after=DRAINING_RETRY_AFTER_SECONDS,
            detail="the host ends before the body is whole",
        )

    def _admit(self, req: CallerRequest, body: bytes, arrived_at: float) -> RequestJob:
        try:
            return self._admission.admit(req, body, arrived_at)
        except RefusedError:
            raise
        except Exception as exc:  # noqa: BLE001
            # It must not end the requests of other callers.
            self._raise_internal_error(exc)

    async def _run_until_disconnect(self, job: RequestJob) -> None:
        """Serve a request; raises PeerDisconnectedError if the caller leaves."""
        handler = RequestHandler(self._ctx, self._parts, self._conn, job)
        log = RequestLog(self._ctx, job)
        failure: Exception | None = None
        disconnected = False
        is_answered = False

        async def watch_connection() -> None:
            nonlocal disconnected
            await self._conn.wait_for_disconnect()
            disconnected = True
            tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            self._work = tasks.cancel_scope
            tasks.start_soon(watch_connection)
            try:
                await handler.handle()
                is_answered = True
            except Exception as exc:  # noqa: BLE001
                # Raised below: the task group would wrap it in an exception group.
                failure = exc
            tasks.cancel_scope.cancel()
        if disconnected or isinstance(failure, PeerDisconnectedError):
            log.abandoned(handler.spent)
            raise PeerDisconnectedError("the caller has disconnected")
        if is_answered:
            return
        if failure is None:
            raise self._given_up_error(job)
        if isinstance(failure, AttemptError):
            log.cut(failure, handler.spent)
        elif not isinstance(failure, RefusedError):
            self._raise_internal_error(failure)
        raise failure

    def _given_up_error(self, job: RequestJob) -> RefusedError:
        """Return the refusal of a request that the end of a drain has cancelled."""
        if job.may_have_run:
            detail = f"the host ends, no answer from {job.endpoint_id}"
            return refused(
                RefusalReason.OUTCOME_UNKNOWN, RunState.UNKNOWN, detail=detail
            )
        return refused(
            RefusalReason.DRAINING,
            retry_after=DRAINING_RETRY_AFTER_SECONDS,
            detail="the host ends before the request was sent on",
        )

    def _raise_internal_error(self, failure: Exception) -> NoReturn:
        """Refuse the request if no answer was begun, else end the connection."""
        self._ctx.events.emit(
            TASK_FAILED, task=f"request {self.request_id}", error=repr(failure)
        )
        if self._conn.has_begun_reply:
            raise PeerDisconnectedError("internal error within an answer") from failure
        raise RefusedError(
            Refusal(RefusalReason.INTERNAL_ERROR, RunState.UNKNOWN)
        ) from failure

    async def _refuse_malformed(
        self, exc: MalformedRequestError, arrived_at: float
    ) -> None:
        reason = REASON_BY_STATUS.get(exc.status, RefusalReason.BAD_REQUEST)
        await self._refuse(Refusal(reason, detail=str(exc)), None, arrived_at)

    async def _refuse(
        self, refusal: Refusal, job: RequestJob | None, arrived_at: float
    ) -> None:
        ctx = self._ctx
        status = STATUS_BY_REASON[refusal.reason]
        ctx.metrics.count_refusal(refusal.reason)
        ctx.events.emit(
            REQUEST_REFUSED,
            request=self.request_id,
            reason=refusal.reason,
            status=status,
            run_state=refusal.run_state,
            retry_after=refusal.retry_after,
            detail=refusal.detail,
            route=job.route.name if job is not None else "",
            organisation=job.organisation_name if job is not None else "",
            config_version=ctx.configuration.version if ctx.configuration else None,
            after_ms=milliseconds(time.monotonic() - arrived_at),
        )
        headers = refusal_headers(self.request_id, refusal.retry_after)
        body = Problem.from_refusal(refusal).encode()
        await self._conn.send_reply(status, headers, body)


def _limits(ctx: EntryContext) -> CallerLimits:
    return ctx.configuration.limits if ctx.configuration else CallerLimits()
