"""A field that refers to another resource."""

from __future__ import annotations

import dataclasses

from knapweeddrum.process.control.resource_id import ResourceId


@dataclasses.dataclass(frozen=True, slots=True)
class Reference:
    """The field's path in the specification, and the resource that must exist."""

    field: str
    target: ResourceId
