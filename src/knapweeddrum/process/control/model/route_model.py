"""Model of the resource ``route``."""

from __future__ import annotations

from typing import Annotated

import pydantic

from knapweeddrum.message.resource.route import Route
from knapweeddrum.process.control.model.reference import Reference
from knapweeddrum.process.control.model.resource_model import (
    NAME_PATTERN,
    ResourceModel,
)
from knapweeddrum.process.control.resource_id import ResourceId
from knapweeddrum.value.endpoint_kind import EndpointKind
from knapweeddrum.value.resource_kind import ResourceKind

EndpointName = Annotated[str, pydantic.Field(pattern=NAME_PATTERN)]


class RouteModel(ResourceModel):
    """A route; limits are in output tokens and concurrent requests, times in s."""

    kind: EndpointKind
    endpoints: tuple[EndpointName, ...] = pydantic.Field(min_length=1, max_length=1_000)
    model: str = pydantic.Field(default="", max_length=128)
    output_limit: int = pydantic.Field(default=1024, ge=1, le=1_000_000)
    in_progress_limit: int = pydantic.Field(default=256, ge=1, le=1_000_000)
    timeout: float = pydantic.Field(default=30.0, gt=0, le=3600)

    def to_message(self) -> Route:
        """Return the specification as the other processes read it."""
        return Route(
            kind=self.kind,
            endpoints=self.endpoints,
            model=self.model,
            output_limit=self.output_limit,
            in_progress_limit=self.in_progress_limit,
            timeout=self.timeout,
        )

    def references(self) -> tuple[Reference, ...]:
        """Return the endpoints."""
        return tuple(
            Reference(f"endpoints.{index}", ResourceId(ResourceKind.ENDPOINT, name))
            for index, name in enumerate(self.endpoints)
        )
