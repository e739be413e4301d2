"""Paths of the resource API."""

from __future__ import annotations

import urllib.parse


def resource_path(kind: str, name: str) -> str:
    """Return the path of a resource."""
    quoted = urllib.parse.quote(name, safe="/")
    return f"/v1/resources/{urllib.parse.quote(kind, safe='')}/{quoted}"


def with_parameters(path: str, **parameters: str) -> str:
    """Return the path with the query parameters that are not empty."""
    query = {name: value for name, value in parameters.items() if value}
    return f"{path}?{urllib.parse.urlencode(query)}" if query else path


def host_drain_path(host: str) -> str:
    """Return the path of a host's drain."""
    return f"/v1/hosts/{urllib.parse.quote(host, safe='')}/drain"
