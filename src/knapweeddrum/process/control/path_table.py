"""Dispatch of requests by method and path."""

from __future__ import annotations

import re
from collections.abc import Sequence

from knapweeddrum.process.control.api_request import ApiRequest
from knapweeddrum.process.control.api_response import ApiResponse
from knapweeddrum.process.control.event_stream import EventStream
from knapweeddrum.process.control.exceptions import ProblemError
from knapweeddrum.process.control.handler.handler import Handler
from knapweeddrum.process.control.path_route import PathRoute
from knapweeddrum.process.control.problem import Problem
from knapweeddrum.process.control.problems import not_found
from knapweeddrum.value.control_refusal_reason import ControlRefusalReason


class PathTable:
    """Finds the handler of a request by its method and path."""

    def __init__(self, routes: Sequence[PathRoute]) -> None:
        self._routes = tuple(routes)

    async def handle(self, req: ApiRequest) -> ApiResponse | EventStream:
        """Return the handler's response; raises ProblemError for an unknown path."""
        allowed = []
        for route in self._routes:
            match = route.pattern.fullmatch(req.path)
            if match is None:
                continue
            if route.method == req.method:
                return await route.handler.handle(req, match.groups())
            allowed.append(route.method)
        if allowed:
            raise _method_not_allowed(req, allowed)
        raise not_found(f"unknown path {req.path[:200]!r}")


def path_route(method: str, pattern: str, handler: Handler) -> PathRoute:
    """Return a route; ``pattern`` is a regular expression."""
    return PathRoute(method, re.compile(pattern), handler)


def _method_not_allowed(req: ApiRequest, allowed: list[str]) -> ProblemError:
    return ProblemError(
        Problem(
            ControlRefusalReason.METHOD_NOT_ALLOWED,
            f"{req.method} is not allowed for this path; use {', '.join(allowed)}",
        )
    )
