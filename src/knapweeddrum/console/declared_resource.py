"""A resource as a file declares it."""

from __future__ import annotations

from typing import Any

import msgspec


class DeclaredResource(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Kind, name and specification, which the server validates."""

    kind: str
    name: str
    spec: dict[str, Any]


class ResourceChangeBody(msgspec.Struct, frozen=True):
    """Body of a change: the version it replaces and the new specification."""

    version: int
    spec: dict[str, Any]
