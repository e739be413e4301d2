"""What a played site is made of: data centres, hosts, kinds of requests."""

from __future__ import annotations

import dataclasses

HOST_NAME = "desk.example"
ENGINE_SERVICE = "engine"
RECORDS_SERVICE = "records"
ORGANISATION_COUNT = 10


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKind:
    """A kind of request; sizes in bytes, times in seconds."""

    name: str
    share: float
    """Part of all requests, in any unit."""
    route_kind: str
    service: str
    time_limit: float
    max_attempts: int
    mean_body: float
    most_body: int
    mean_work: float
    """Mean time for which an endpoint works on it."""
    most_work: float
    prompt_tokens: int = 0
    output_tokens: int = 0
    resumable: bool = False

    @property
    def is_stream(self) -> bool:
        return self.route_kind == "streaming"

    @property
    def path(self) -> str:
        return f"/{self.name}/1"


@dataclasses.dataclass(frozen=True, slots=True)
class DataCentre:
    """A data centre, its hosts, endpoints and callers."""

    name: str
    hosts: int
    engines: int
    callers: int


@dataclasses.dataclass(frozen=True, slots=True)
class SiteShape:
    """A whole site; times in seconds."""

    data_centres: tuple[DataCentre, ...]
    kinds: tuple[RequestKind, ...]
    requests_per_second: float
    grace: float = 8.0
    stable_window: float = 3.0
    apply_time: float = 2.0
    """Time from a configuration's acknowledgement until it holds everywhere."""
    loss_slack: float = 0.2
    """Time after the last byte of a request within which its connection may end."""
    late_request: float = 3.0
    """Time after a SIGTERM until which a request may be cut at the drain's end."""
    idle_timeout: float = 5.0
    drain_delay: float = 2.0
    """Time for which an endpoint serves on after it has said that it leaves."""

    @property
    def host_count(self) -> int:
        return sum(centre.hosts for centre in self.data_centres)

    def kind(self, name: str) -> RequestKind:
        return next(kind for kind in self.kinds if kind.name == name)


LEGAL_AID = SiteShape(
    data_centres=(
        DataCentre("xela-centro", 3, 3, 17),
        DataCentre("xela-norte", 2, 3, 13),
        DataCentre("totonicapan", 2, 3, 13),
    ),
    kinds=(
        RequestKind(
            "review",
            19.1,
            "streaming",
            ENGINE_SERVICE,
            6.0,
            1,
            18_000,
            110_000,
            0.7,
            5.5,
            9_190,
            51,
        ),
        RequestKind(
            "summary",
            13.4,
            "streaming",
            ENGINE_SERVICE,
            4.0,
            2,
            4_700,
            28_000,
            0.4,
            3.5,
            2_368,
            24,
            resumable=True,
        ),
        RequestKind(
            "answer",
            18.3,
            "streaming",
            ENGINE_SERVICE,
            15.0,
            1,
            1_400,
            8_600,
            2.0,
            14.0,
            715,
            261,
        ),
        RequestKind(
            "register", 12.7, "unsafe", RECORDS_SERVICE, 0.6, 1, 600, 3_600, 0.02, 0.11
        ),
        RequestKind("lookup", 8.0, "safe", RECORDS_SERVICE, 0.6, 2, 0.0, 0, 0.02, 0.11),
    ),
    requests_per_second=36.0,
)
"""The legal aid office with seven hosts, as its sheet describes it."""


def configuration(
    shape: SiteShape, version: int, *, prepaid: int, extra_routes: int = 0
) -> dict[str, object]:
    """Return the configuration of a site, with routes that nobody uses."""
    routes = [_route(kind) for kind in shape.kinds]
    first = shape.kinds[0]
    for number in range(extra_routes):
        unused = dataclasses.replace(first, name=f"unused-{number}")
        routes.append(_route(unused))
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": ENGINE_SERVICE,
                "healthPath": "/health",
                "maxConnections": 620,
                "engine": {"slots": 128, "kvTokens": 221_971, "stride": 3},
            },
            {"name": RECORDS_SERVICE, "healthPath": "/health", "maxConnections": 100},
        ],
        "limits": {
            "maxHeaderBytes": 8192,
            "maxBodyBytes": 1_000_000,
            "headerTimeoutMs": 2000,
            "idleTimeoutMs": shape.idle_timeout * 1000,
        },
        "tenants": [
            {
                "name": f"office-{number}",
                "apiKeys": [api_key(number)],
                "prepaid": prepaid,
            }
            for number in range(ORGANISATION_COUNT)
        ],
    }


def api_key(organisation: int) -> str:
    """Return the key of an organisation by its number."""
    return f"key-of-office-{organisation}"


def _route(kind: RequestKind) -> dict[str, object]:
    return {
        "name": kind.name,
        "host": HOST_NAME,
        "pathPrefix": f"/{kind.name}/",
        "kind": kind.route_kind,
        "service": kind.service,
        "timeoutMs": kind.time_limit * 1000,
        "targetLatencyMs": 500,
        "priority": 1,
        "maxAttempts": kind.max_attempts,
        "allowAnonymous": False,
        "sessionAffinity": kind.is_stream,
        "resumable": kind.resumable,
    }
