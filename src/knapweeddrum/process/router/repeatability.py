"""Rules on which requests may be sent again after a failure."""

from __future__ import annotations

from collections.abc import Iterable

from knapweeddrum.message.resource.route import Route
from knapweeddrum.message.resource.rule import Rule
from knapweeddrum.value.endpoint_kind import EndpointKind

SAFE_METHODS = frozenset({"GET", "HEAD"})


def is_repeatable(
    rules: Iterable[Rule], route_name: str, route: Route, method: str, path: str
) -> bool:
    """Return whether a request may be sent again, by the most specific rule.

    The rule with the longest path prefix applies, then the one that names the method;
    of two equally specific rules the one that forbids repetition. Without a rule,
    model requests and safe methods are repeatable.
    """
    best: tuple[int, bool, bool] | None = None
    for rule in rules:
        if not _applies(rule, route_name, method, path):
            continue
        rank = (len(rule.path_prefix), bool(rule.method), not rule.repeatable)
        if best is None or rank > best:
            best = rank
    if best is not None:
        return not best[2]
    if route.kind is EndpointKind.MODEL_ENGINE:
        return True
    return method in SAFE_METHODS


def _applies(rule: Rule, route_name: str, method: str, path: str) -> bool:
    """Return whether a rule covers a request."""
    if rule.route != route_name:
        return False
    if rule.method and rule.method.upper() != method:
        return False
    return path.startswith(rule.path_prefix)
