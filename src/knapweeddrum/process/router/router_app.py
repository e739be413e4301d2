"""The ASGI application that serves callers."""

from __future__ import annotations

from collections.abc import MutableMapping
from typing import Any

import msgspec

from knapweeddrum.process.router.authenticated_request import AuthenticatedRequest
from knapweeddrum.process.router.authenticator import authenticate
from knapweeddrum.process.router.body_reader import Receive, read_body
from knapweeddrum.process.router.caller_headers import CallerHeaders
from knapweeddrum.process.router.entry_handler import ENTRY_PATH, EntryHandler
from knapweeddrum.process.router.exceptions import (
    CallerGoneError,
    RefusedError,
    refused,
)
from knapweeddrum.process.router.model_handler import CHAT_PATH, ModelHandler
from knapweeddrum.process.router.problem import Problem
from knapweeddrum.process.router.resource_table import ResourceTable
from knapweeddrum.process.router.response_writer import (
    JSON_CONTENT_TYPE,
    ResponseWriter,
    Send,
)
from knapweeddrum.process.router.router_context import RouterContext
from knapweeddrum.process.router.router_gate import RouterGate
from knapweeddrum.process.router.service_handler import SERVICES_PREFIX, ServiceHandler
from knapweeddrum.telemetry.counters import CANCELLED, REQUESTS
from knapweeddrum.telemetry.events import TASK_FAILED
from knapweeddrum.value.refusal import Refusal
from knapweeddrum.value.refusal_reason import RefusalReason
from knapweeddrum.value.run_state import RunState

HEALTH_PATH = "/healthz"
COUNTERS_PATH = "/-/counters"

Scope = MutableMapping[str, Any]


class RouterApp:
    """Reads and authenticates requests, calls their handlers and sends refusals."""

    def __init__(
        self,
        context: RouterContext,
        table: ResourceTable,
        gate: RouterGate,
        models: ModelHandler,
        services: ServiceHandler,
        entry: EntryHandler,
    ) -> None:
        self._context = context
        self._table = table
        self._gate = gate
        self._models = models
        self._services = services
        self._entry = entry

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request."""
        if scope["type"] != "http":
            return
        writer = ResponseWriter(send)
        self._gate.open_requests += 1
        try:
            await self._serve(scope, receive, writer)
        except RefusedError as exc:
            await self._refuse(writer, exc.refusal)
        except CallerGoneError:
            self._context.metrics.count(CANCELLED)
        except Exception as exc:  # noqa: BLE001
            self._context.events.emit(TASK_FAILED, task="request", error=repr(exc))
            await self._refuse(writer, _internal_error())
        finally:
            self._gate.open_requests -= 1

    async def _serve(
        self, scope: Scope, receive: Receive, writer: ResponseWriter
    ) -> None:
        """Call the handler of the path."""
        path: str = scope["path"]
        method: str = scope["method"]
        if path == HEALTH_PATH:
            await self._send_json(writer, self._gate.health())
        elif path == COUNTERS_PATH:
            await self._send_json(writer, dict(self._context.metrics.counts))
        elif path == ENTRY_PATH and method == "GET":
            await self._entry.handle(_caller_id(scope), writer)
        elif path == CHAT_PATH and method == "POST":
            req = await self._read(scope, receive, writer)
            await self._models.handle(req, receive, writer)
        elif path.startswith(SERVICES_PREFIX):
            req = await self._read(scope, receive, writer)
            await self._services.handle(req, receive, writer)
        else:
            raise refused(RefusalReason.UNKNOWN_ROUTE, f"no route for {method} {path}")

    async def _read(
        self, scope: Scope, receive: Receive, writer: ResponseWriter
    ) -> AuthenticatedRequest:
        """Return the validated request; raises RefusedError or CallerGoneError."""
        self._context.metrics.count(REQUESTS)
        limits = self._context.settings.router
        headers = CallerHeaders.parse(scope["headers"], limits.header_limit_bytes)
        request_id = headers.request_id or self._context.new_id()
        writer.request_id = request_id
        self._gate.check()
        organisation = authenticate(self._table, headers.key)
        body = await read_body(receive, limits.body_limit_bytes)
        return AuthenticatedRequest(
            method=scope["method"],
            path=scope["path"],
            query=_query_string(scope),
            headers=headers,
            organisation=organisation,
            request_id=request_id,
            id_is_generated=not headers.request_id,
            body=body,
        )

    async def _refuse(self, writer: ResponseWriter, refusal: Refusal) -> None:
        """Count and send a refusal."""
        self._context.metrics.count_refusal(refusal.reason)
        await writer.send_problem(Problem.from_refusal(refusal))

    async def _send_json(self, writer: ResponseWriter, body: object) -> None:
        await writer.send_response(200, JSON_CONTENT_TYPE, msgspec.json.encode(body))


def _caller_id(scope: Scope) -> str:
    """Return what identifies a caller across requests: its address."""
    client = scope.get("client")
    return str(client[0]) if client else ""


def _query_string(scope: Scope) -> str:
    """Return the query string; raises RefusedError if it is not ASCII."""
    try:
        return bytes(scope["query_string"]).decode("ascii")
    except UnicodeDecodeError as exc:
        raise refused(RefusalReason.BAD_REQUEST, "query: not ASCII") from exc


def _internal_error() -> Refusal:
    return Refusal(
        RefusalReason.ENDPOINT_FAILED, RunState.UNKNOWN, detail="internal error"
    )
