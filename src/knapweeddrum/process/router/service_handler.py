"""Handler of requests for plain services."""

from __future__ import annotations

import urllib.parse

from knapweeddrum.endpoint.service_reply import ServiceReply
from knapweeddrum.endpoint.service_request import ServiceRequest
from knapweeddrum.message.resource.route import Route
from knapweeddrum.process.router.authenticated_request import AuthenticatedRequest
from knapweeddrum.process.router.body_reader import Receive
from knapweeddrum.process.router.disconnect_watch import while_connected
from knapweeddrum.process.router.exceptions import RefusedError, refused
from knapweeddrum.process.router.repeatability import is_repeatable
from knapweeddrum.process.router.request_digest import request_digest
from knapweeddrum.process.router.resource_table import ResourceTable
from knapweeddrum.process.router.response_writer import ResponseWriter
from knapweeddrum.process.router.router_context import RouterContext
from knapweeddrum.process.router.service_job import ServiceJob
from knapweeddrum.process.router.service_run import ServiceRun
from knapweeddrum.process.router.service_run_directory import ServiceRunDirectory
from knapweeddrum.telemetry.counters import ANSWERED
from knapweeddrum.value.endpoint_kind import EndpointKind
from knapweeddrum.value.identifiers import ClaimKey, RouteName
from knapweeddrum.value.refusal_reason import RefusalReason

SERVICES_PREFIX = "/v1/services/"

ALLOWED_METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"})


class ServiceHandler:
    """Checks a request for a plain service, runs it and writes the reply."""

    def __init__(
        self, context: RouterContext, table: ResourceTable, runs: ServiceRunDirectory
    ) -> None:
        self._context = context
        self._table = table
        self._runs = runs

    async def handle(
        self, req: AuthenticatedRequest, receive: Receive, writer: ResponseWriter
    ) -> None:
        """Answer one request; raises RefusedError or CallerGoneError."""
        run = self._runs.start(self._job(req))
        reply = await self._reply(run, receive)
        await writer.send_response(reply.status, reply.content_type, reply.body)
        self._context.metrics.count(ANSWERED)

    async def _reply(self, run: ServiceRun, receive: Receive) -> ServiceReply:
        """Wait for the reply and notify the run if the caller leaves."""
        try:
            async with while_connected(receive):
                await run.ended.wait()
        finally:
            run.on_caller_left()
        if isinstance(run.outcome, ServiceReply):
            return run.outcome
        raise RefusedError(run.outcome)

    def _job(self, req: AuthenticatedRequest) -> ServiceJob:
        """Return the validated request; raises RefusedError."""
        organisation = req.organisation
        name, _, rest = req.path.removeprefix(SERVICES_PREFIX).partition("/")
        path = f"/{rest}"
        _check_path(path)
        if req.method not in ALLOWED_METHODS:
            raise refused(
                RefusalReason.BAD_REQUEST, f"method {req.method} is not supported"
            )
        route = self._route(name)
        key = req.headers.idempotency_key
        repeatable = is_repeatable(
            self._table.rules.values(), name, route, req.method, path
        )
        claim_key = ""
        if not repeatable and key:
            claim_key = f"{organisation}/{name}/{key}"
        target = _target(path, req.query)
        seconds = req.headers.deadline
        if seconds is None:
            seconds = self._context.settings.router.default_deadline_seconds
        return ServiceJob(
            organisation=organisation,
            weight=max(1, self._table.organisations[organisation].weight),
            route_name=RouteName(name),
            route=route,
            request=ServiceRequest(
                method=req.method,
                path=target,
                body=req.body,
                content_type=req.headers.content_type,
                key=key,
            ),
            fingerprint=request_digest(req.method, target, req.body),
            priority=req.headers.priority,
            deadline=self._context.clock() + seconds,
            repeatable=repeatable,
            claim_key=ClaimKey(claim_key),
        )

    def _route(self, name: str) -> Route:
        route = self._table.routes.get(name)
        if route is None or route.kind is not EndpointKind.PLAIN_SERVICE:
            raise refused(RefusalReason.UNKNOWN_ROUTE, f"no service {name!r}")
        return route


def _check_path(path: str) -> None:
    """Raise RefusedError for a path that a service may normalise to another one.

    The rules of a route match path prefixes, and a path such as ``/a/../b`` could
    evade them.
    """
    segments = path.split("/")[1:]
    empty = "" in segments[:-1]
    dots = "." in segments or ".." in segments
    if empty or dots or "\\" in path or not path.isprintable():
        raise refused(RefusalReason.BAD_REQUEST, "path: not in normal form")


def _target(path: str, query: str) -> str:
    """Return the request target, percent-encoded."""
    target = urllib.parse.quote(path, safe="/:@!$&'()*+,;=-._~")
    return f"{target}?{query}" if query else target
