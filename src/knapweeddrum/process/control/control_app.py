"""The resource API as an ASGI application."""

from __future__ import annotations

import contextlib
from typing import Any

import anyio

from knapweeddrum.process.control.api_request import ApiRequest
from knapweeddrum.process.control.api_response import ApiResponse
from knapweeddrum.process.control.event_stream import EventStream
from knapweeddrum.process.control.exceptions import (
    KeeperReplyLostError,
    KeeperUnavailableError,
    ProblemError,
)
from knapweeddrum.process.control.header import Header
from knapweeddrum.process.control.operator_guard import OperatorGuard
from knapweeddrum.process.control.path_table import PathTable
from knapweeddrum.process.control.problem import Problem
from knapweeddrum.process.control.problem_document import problem_response
from knapweeddrum.process.control.problems import outcome_unknown, unavailable
from knapweeddrum.telemetry.counters import (
    CONTROL_REQUESTS,
    control_refusal_counter,
)
from knapweeddrum.telemetry.event_log import EventLog
from knapweeddrum.telemetry.events import CONTROL_REFUSED, TASK_FAILED
from knapweeddrum.telemetry.metrics import Metrics
from knapweeddrum.value.control_refusal_reason import ControlRefusalReason

Scope = Any
Receive = Any
Send = Any


class ControlApp:
    """Authenticates each request, passes it to its handler and sends the response."""

    def __init__(
        self,
        paths: PathTable,
        guard: OperatorGuard,
        body_limit: int,
        events: EventLog,
        metrics: Metrics,
    ) -> None:
        self._paths = paths
        self._guard = guard
        self._body_limit = body_limit
        self._events = events
        self._metrics = metrics

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request."""
        self._metrics.count(CONTROL_REQUESTS)
        try:
            req = await self._read(scope, receive)
            self._guard.check(req)
            response = await self._handle(req)
        except ProblemError as exc:
            response = self._refuse(scope, exc.problem)
        except Exception as exc:  # noqa: BLE001
            self._events.emit(TASK_FAILED, task="request", error=repr(exc))
            response = self._refuse(scope, outcome_unknown("internal error").problem)
        if isinstance(response, EventStream):
            await _send_stream(receive, send, response)
        else:
            await _send_response(send, response)

    async def _handle(self, req: ApiRequest) -> ApiResponse | EventStream:
        """Return the handler's response; keeper errors become ``unavailable`` problems.

        A lost reply only gets here from reads: handlers of changes report that the
        outcome is unknown.
        """
        try:
            return await self._paths.handle(req)
        except KeeperUnavailableError as exc:
            raise unavailable(f"no keeper is available: {exc}") from exc
        except KeeperReplyLostError as exc:
            raise unavailable(f"no reply from the keeper: {exc}") from exc

    async def _read(self, scope: Scope, receive: Receive) -> ApiRequest:
        """Return the request; raises ProblemError when its body is too large."""
        body = b""
        more = True
        while more:
            message = await receive()
            body += message.get("body", b"")
            more = message.get("more_body", False)
            if len(body) > self._body_limit:
                raise _body_too_large(self._body_limit)
        headers = tuple(
            Header(name.decode("latin-1"), value.decode("latin-1"))
            for name, value in scope["headers"]
        )
        query = scope["query_string"].decode("latin-1")
        return ApiRequest(scope["method"], scope["path"], query, headers, body)

    def _refuse(self, scope: Scope, problem: Problem) -> ApiResponse:
        self._metrics.count(control_refusal_counter(problem.reason))
        self._events.emit(
            CONTROL_REFUSED,
            reason=problem.reason.value,
            method=scope["method"],
            path=scope["path"][:200],
            run_state=problem.run_state.value,
        )
        return problem_response(problem)


def _body_too_large(limit: int) -> ProblemError:
    return ProblemError(
        Problem(
            ControlRefusalReason.BODY_TOO_LARGE,
            f"the body is larger than {limit} bytes",
        )
    )


async def _send_response(send: Send, response: ApiResponse) -> None:
    headers = [
        (b"content-type", response.content_type.encode()),
        (b"content-length", str(len(response.body)).encode()),
    ]
    headers += [
        (header.name.encode(), header.value.encode()) for header in response.headers
    ]
    await send(
        {
            "type": "http.response.start",
            "status": response.status,
            "headers": headers,
        }
    )
    await send({"type": "http.response.body", "body": response.body})


async def _send_stream(receive: Receive, send: Send, stream: EventStream) -> None:
    """Send events until the stream ends or the client disconnects."""
    headers = [
        (b"content-type", b"text/event-stream"),
        (b"cache-control", b"no-store"),
    ]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    async with anyio.create_task_group() as group:
        group.start_soon(_cancel_on_disconnect, receive, group.cancel_scope)
        await _send_events(send, stream)
        group.cancel_scope.cancel()


async def _send_events(send: Send, stream: EventStream) -> None:
    async with contextlib.aclosing(stream.events) as events:
        async for chunk in events:
            body = {"type": "http.response.body", "body": chunk, "more_body": True}
            await send(body)
    await send({"type": "http.response.body", "body": b""})


async def _cancel_on_disconnect(receive: Receive, scope: anyio.CancelScope) -> None:
    """Cancel the scope once the client has closed its connection."""
    while (await receive())["type"] != "http.disconnect":
        continue
    scope.cancel()
