"""One version of a configuration resource."""

from __future__ import annotations

import msgspec


class ResourceRecord(msgspec.Struct, frozen=True):
    """The resource as of its change at log offset ``offset``; ``body`` is JSON."""

    resource_kind: str
    name: str
    version: int
    offset: int
    body: bytes
    deleted: bool = False
