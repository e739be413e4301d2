from __future__ import annotations

from knapweeddrum.core.catalog.caller_limits import CallerLimits
from knapweeddrum.core.catalog.configuration import Configuration
from knapweeddrum.core.catalog.organisation import Organisation
from knapweeddrum.core.catalog.route import Destination, Route
from knapweeddrum.core.catalog.route_kind import RouteKind


def route(prefix: str, kind: RouteKind = RouteKind.SAFE, **changes) -> Route:
    values = {
        "name": prefix,
        "host_name": "desk.example",
        "path_prefix": prefix,
        "kind": kind,
        "destinations": (Destination("a", 90.0), Destination("b", 10.0)),
        "timeout": 1.0,
        "target_latency": 0.1,
        "priority": 0,
    }
    return Route(**{**values, **changes})


def build(*routes: Route) -> Configuration:
    organisations = [Organisation("mill", frozenset({"k1", "k2"}))]
    return Configuration.build(1, routes, [], organisations, CallerLimits())


def test_longest_prefix_wins():
    """A path takes the route with the longest prefix that matches it."""
    configuration = build(route("/a/"), route("/a/b/"), route("/"))
    found = {
        path: getattr(configuration.find_route("desk.example", path), "name", None)
        for path in ("/a/b/c", "/a/b", "/a/x/y/z", "/other", "/a/b/")
    }
    assert found == {
        "/a/b/c": "/a/b/",
        "/a/b": "/a/",
        "/a/x/y/z": "/a/",
        "/other": "/",
        "/a/b/": "/a/b/",
    }
    assert configuration.find_route("another.example", "/a/") is None
    assert build(route("/a/")).find_route("desk.example", "/b/") is None


def test_destinations_share_requests_by_weight():
    """Each service gets the fraction of the requests that its weight sets."""
    split = route("/a/")
    names = [split.choose_service(step / 100) for step in range(100)]
    assert names.count("a") == 90
    assert split.choose_service(0.9999999) == "b"


def test_route_kind_determines_idempotence():
    """Streams may be repeated only where they may be resumed."""
    assert route("/a/").idempotent
    assert not route("/a/", RouteKind.UNSAFE, resumable=True).idempotent
    assert not route("/a/", RouteKind.STREAMING).idempotent
    assert route("/a/", RouteKind.STREAMING, resumable=True).idempotent


def test_api_key_finds_its_organisation():
    """Each key of an organisation finds it; other keys find none."""
    configuration = build(route("/a/"))
    assert configuration.find_organisation("k2").name == "mill"
    assert configuration.find_organisation("k3") is None
