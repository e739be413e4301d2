"""Parsing of the resource kind in a path or query parameter."""

from __future__ import annotations

from knapweeddrum.process.control.problems import not_found
from knapweeddrum.value.resource_kind import ResourceKind


def resource_kind_parameter(text: str) -> ResourceKind:
    """Return the kind; raises ProblemError for an unknown one."""
    try:
        return ResourceKind(text)
    except ValueError as exc:
        kinds = ", ".join(ResourceKind)
        raise not_found(f"unknown resource kind {text!r}; known: {kinds}") from exc
