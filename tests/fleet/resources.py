"""Resources that the tests with real processes apply."""

from __future__ import annotations

import hashlib

from tools.launcher import SmallFleet

API_KEY = "test-caller-key"
ORGANISATION = "mill"
MODEL = "draft"
SERVICE = "orders"
OUTPUT_LIMIT = 1_000


def fleet_resources(
    fleet: SmallFleet, budgets: tuple[str, ...]
) -> list[dict[str, object]]:
    """Return an organisation with budgets, a model route and a booking route."""
    digest = hashlib.sha256(API_KEY.encode()).hexdigest()
    engines = [engine.name for engine in fleet.engines]
    model_route = {
        "kind": "model_engine",
        "model": MODEL,
        "endpoints": engines,
        "output_limit": OUTPUT_LIMIT,
    }
    service_route = {"kind": "plain_service", "endpoints": [fleet.service.name]}
    rule = {
        "route": SERVICE,
        "method": "POST",
        "path_prefix": "/reservations",
        "repeatable": False,
    }
    return [
        _resource("organisation", ORGANISATION, {"key_digests": [digest]}),
        *(
            _resource(
                "budget", f"{ORGANISATION}/{name}", {"organisation": ORGANISATION}
            )
            for name in budgets
        ),
        *(_endpoint("model_engine", e.name, e.url) for e in fleet.engines),
        _endpoint("plain_service", fleet.service.name, fleet.service.url),
        _resource("route", MODEL, model_route),
        _resource("route", SERVICE, service_route),
        _resource("rule", "reservations", rule),
    ]


def _endpoint(kind: str, name: str, address: str) -> dict[str, object]:
    spec = {"kind": kind, "address": address, "data_centre": "dc-0"}
    return _resource("endpoint", name, spec)


def _resource(kind: str, name: str, spec: dict[str, object]) -> dict[str, object]:
    return {"kind": kind, "name": name, "spec": spec}
