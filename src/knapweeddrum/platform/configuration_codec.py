"""Decodes the operators' configuration document."""

from __future__ import annotations

import msgspec

from knapweeddrum.core.catalog.caller_limits import CallerLimits
from knapweeddrum.core.catalog.cold_ramp import ColdRamp
from knapweeddrum.core.catalog.configuration import Configuration
from knapweeddrum.core.catalog.organisation import Organisation
from knapweeddrum.core.catalog.route import Destination, Route
from knapweeddrum.core.catalog.route_kind import RouteKind
from knapweeddrum.core.catalog.service import EngineLimits, Service
from knapweeddrum.platform.exceptions import MalformedRecordError
from knapweeddrum.value.documents import (
    Count,
    MalformedDocumentError,
    Measure,
    SignedCount,
    decode_json,
)

DEFAULT_REQUEST_TIMEOUT_MS = 30_000.0
DEFAULT_TARGET_LATENCY_MS = 1_000.0


class _Cluster(msgspec.Struct, frozen=True):
    service: str
    weight: Measure


class _Route(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    host: str
    path_prefix: str
    kind: str
    service: str | None = None
    weighted_clusters: tuple[_Cluster, ...] = ()
    timeout_ms: Measure = DEFAULT_REQUEST_TIMEOUT_MS
    target_latency_ms: Measure = DEFAULT_TARGET_LATENCY_MS
    priority: SignedCount = 0
    max_attempts: Count = 1
    allow_anonymous: bool = False
    session_affinity: bool = False
    resumable: bool = False


class _Engine(msgspec.Struct, frozen=True, rename="camel"):
    slots: Count
    kv_tokens: Count
    stride: Count = 1
    """Output tokens per event of a stream."""


class _Service(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    max_connections: Count
    engine: _Engine | None = None
    cold_seconds: Measure = msgspec.field(name="coldStartS", default=0.0)
    cold_rate: Measure = msgspec.field(name="coldPerS", default=0.0)
    """Requests a second that a cold endpoint takes from all hosts together."""


class _Limits(msgspec.Struct, frozen=True, rename="camel"):
    max_header_bytes: Count
    max_body_bytes: Count
    header_timeout_ms: Measure
    idle_timeout_ms: Measure


class _Tenant(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: SignedCount | None = None
    prepaid: Count | None = None


class ConfigurationDocument(msgspec.Struct, frozen=True):
    """The JSON document that operators write; its field names are in camel case."""

    version: Count
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits
    tenants: tuple[_Tenant, ...] = ()


def decode_document(body: bytes) -> ConfigurationDocument:
    """Parse the JSON document; the MalformedRecordError raised names the field."""
    try:
        return decode_json(body, ConfigurationDocument)
    except MalformedDocumentError as exc:
        raise MalformedRecordError(f"configuration: {exc}") from exc


def decode_configuration(body: bytes) -> Configuration:
    """Decode the JSON document into a Configuration.

    The MalformedRecordError raised for an invalid document names the field.
    """
    document = decode_document(body)
    limits = document.limits
    return Configuration.build(
        version=document.version,
        routes=[_route(route) for route in document.routes],
        services=[_service(service) for service in document.services],
        organisations=[_organisation(tenant) for tenant in document.tenants],
        limits=CallerLimits(
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            header_timeout=limits.header_timeout_ms / 1000,
            idle_timeout=limits.idle_timeout_ms / 1000,
        ),
    )


def _route(route: _Route) -> Route:
    destinations = tuple(
        Destination(cluster.service, cluster.weight)
        for cluster in route.weighted_clusters
    )
    if route.service is not None:
        destinations = (Destination(route.service, 1.0),)
    if not destinations:
        raise MalformedRecordError(f"configuration: route {route.name} has no service")
    return Route(
        name=route.name,
        host_name=route.host.lower(),
        path_prefix=route.path_prefix,
        kind=_kind(route.kind),
        destinations=destinations,
        timeout=route.timeout_ms / 1000,
        target_latency=route.target_latency_ms / 1000,
        priority=route.priority,
        max_attempts=max(1, route.max_attempts),
        allow_anonymous=route.allow_anonymous,
        session_affinity=route.session_affinity,
        resumable=route.resumable,
    )


def _kind(kind: str) -> RouteKind:
    try:
        return RouteKind(kind)
    except ValueError:
        # Requests of a kind that this version doesn't know are never retried.
        return RouteKind.UNSAFE


def _service(service: _Service) -> Service:
    engine = service.engine
    limits = None
    if engine is not None:
        limits = EngineLimits(engine.slots, engine.kv_tokens, max(1, engine.stride))
    ramp = None
    if service.cold_seconds and service.cold_rate:
        ramp = ColdRamp(service.cold_rate, service.cold_seconds)
    return Service(service.name, service.max_connections, limits, ramp)


def _organisation(tenant: _Tenant) -> Organisation:
    return Organisation(
        name=tenant.name,
        api_keys=frozenset(tenant.api_keys),
        priority=tenant.priority,
        prepaid=tenant.prepaid,
    )
