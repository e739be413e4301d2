"""Kinds of configuration resource."""

from __future__ import annotations

import enum


class ResourceKind(enum.StrEnum):
    """The kind of a resource; the value is used in the paths of the resource API."""

    ORGANISATION = "organisation"
    BUDGET = "budget"
    ROUTE = "route"
    RULE = "rule"
    ENDPOINT = "endpoint"
