"""Admission of requests and choice of their service."""

from __future__ import annotations

from knapweeddrum.core.admission.request_fingerprint import request_fingerprint
from knapweeddrum.core.catalog.configuration import Configuration
from knapweeddrum.core.catalog.organisation import Organisation
from knapweeddrum.core.catalog.route import Route
from knapweeddrum.core.catalog.service import Service
from knapweeddrum.core.directory.connection_limit import (
    MIN_CONNECTIONS,
    connection_limit,
)
from knapweeddrum.core.directory.fleet_size import ALONE_SECONDS
from knapweeddrum.core.routing.failover_policy import RETRY_AFTER_FRACTION
from knapweeddrum.platform.caller_request import CallerRequest
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.refused_error import RefusedError
from knapweeddrum.process.entry.request_job import RequestJob
from knapweeddrum.value.refusal import Refusal
from knapweeddrum.value.refusal_reason import RefusalReason
from knapweeddrum.value.run_state import RunState

NOT_READY_RETRY_AFTER_SECONDS = 0.3
"""Retry-after while the process has no configuration yet."""

MAX_NO_ROOM_RETRY_SECONDS = 1.0
"""Longest Retry-After of a request for whose body there is no memory."""

DRAINING_RETRY_AFTER_SECONDS = 0.01
"""Retry-after of a request that another host can serve at once."""


class RequestAdmission:
    """Checks requests against the routes and API keys of the configuration."""

    def __init__(self, ctx: EntryContext) -> None:
        self._ctx = ctx

    def admit(self, req: CallerRequest, body: bytes, arrived_at: float) -> RequestJob:
        """Return the job of an admitted request; raises RefusedError."""
        configuration = self._ctx.configuration
        if configuration is None:
            raise refused(
                RefusalReason.NOT_READY, retry_after=NOT_READY_RETRY_AFTER_SECONDS
            )
        route = configuration.find_route(req.host_name, req.path)
        if route is None:
            raise refused(RefusalReason.UNKNOWN_ROUTE)
        organisation = self._organisation(configuration, route, req)
        service_name = route.choose_service(self._ctx.rng.random())
        service = configuration.services.get(service_name)
        deadline = arrived_at + _time_left(route, req)
        self._check_drain(deadline, arrived_at)
        max_connections = MIN_CONNECTIONS
        tokens_per_event = 1
        if service is not None:
            max_connections = self._connection_limit(service, arrived_at)
            if service.engine is not None:
                tokens_per_event = service.engine.tokens_per_event
        return RequestJob(
            req=req,
            body=body,
            route=route,
            service=service_name,
            organisation=organisation,
            config_version=configuration.version,
            arrived_at=arrived_at,
            deadline=deadline,
            max_connections=max_connections,
            tokens_per_event=tokens_per_event,
            fingerprint=_fingerprint(req, body, organisation),
        )

    def deadline(self, req: CallerRequest, arrived_at: float) -> float:
        """Return the deadline of a request whose body isn't known yet.

        It is infinite if there is neither a route nor a limit of the caller's.
        """
        configuration = self._ctx.configuration
        route = None
        if configuration is not None:
            route = configuration.find_route(req.host_name, req.path)
        return arrived_at + _time_left(route, req)

    def _connection_limit(self, service: Service, now: float) -> int:
        """Return this host's part of the connections that an endpoint accepts."""
        fleet_size = self._ctx.fleet_size
        young_seconds = ALONE_SECONDS if fleet_size.count(now) <= 1 else 0.0
        share = fleet_size.share(young_seconds, now)
        return connection_limit(
            service.max_connections, share, self._ctx.hosts.demand_share()
        )

    def _check_drain(self, deadline: float, arrived_at: float) -> None:
        """Refuse a request that may outlast the drain; another host can complete it."""
        ctx = self._ctx
        if arrived_at < ctx.drain_refuses_from or deadline <= ctx.drain_ends_at:
            return
        duration = deadline - arrived_at
        left = ctx.drain_ends_at - arrived_at
        raise refused(
            RefusalReason.DRAINING,
            retry_after=DRAINING_RETRY_AFTER_SECONDS,
            detail=f"may take {duration:.1f} s, this process ends in {left:.1f} s",
        )

    def _organisation(
        self, configuration: Configuration, route: Route, req: CallerRequest
    ) -> Organisation | None:
        organisation = None
        if req.api_key is not None:
            organisation = configuration.find_organisation(req.api_key)
        needs_key = configuration.requires_api_key and not route.allow_anonymous
        if organisation is None and needs_key:
            raise refused(RefusalReason.UNAUTHENTICATED)
        return organisation


def _time_left(route: Route | None, req: CallerRequest) -> float:
    """Return the shorter of the route's and the caller's time limit in seconds."""
    timeout = route.timeout if route is not None else float("inf")
    if req.time_left is None:
        return timeout
    return min(timeout, req.time_left)


def _fingerprint(
    req: CallerRequest, body: bytes, organisation: Organisation | None
) -> str:
    caller = organisation.name if organisation is not None else ""
    return request_fingerprint(f"{req.host_name}{req.target!r}", body, caller)


def refused(
    reason: RefusalReason,
    run_state: RunState = RunState.NOT_RUN,
    retry_after: float | None = None,
    detail: str = "",
) -> RefusedError:
    """Return an error that refuses a request; ``retry_after`` is in seconds."""
    return RefusedError(Refusal(reason, run_state, retry_after, detail))


def no_room_error(ctx: EntryContext, time_left: float, detail: str) -> RefusedError:
    """Return the refusal of a request for whose body there is no memory."""
    longest = min(MAX_NO_ROOM_RETRY_SECONDS, max(0.0, time_left) * RETRY_AFTER_FRACTION)
    # Jittered, so that those that were refused together don't come back together.
    retry_after = longest * ctx.rng.uniform(0.5, 1.0)
    return refused(RefusalReason.OVERLOADED, retry_after=retry_after, detail=detail)
