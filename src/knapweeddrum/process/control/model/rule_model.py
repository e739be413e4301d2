"""Model of the resource ``rule``."""

from __future__ import annotations

from typing import Literal

import pydantic

from knapweeddrum.message.resource.rule import Rule
from knapweeddrum.process.control.model.reference import Reference
from knapweeddrum.process.control.model.resource_model import (
    NAME_PATTERN,
    ResourceModel,
)
from knapweeddrum.process.control.resource_id import ResourceId
from knapweeddrum.value.resource_kind import ResourceKind

Method = Literal["", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]


class RuleModel(ResourceModel):
    """Whether requests of a route may be repeated; an empty method means all."""

    route: str = pydantic.Field(pattern=NAME_PATTERN)
    method: Method = ""
    path_prefix: str = pydantic.Field(default="/", pattern=r"^/", max_length=512)
    repeatable: bool = False

    def to_message(self) -> Rule:
        """Return the specification as the other processes read it."""
        return Rule(
            route=self.route,
            method=self.method,
            path_prefix=self.path_prefix,
            repeatable=self.repeatable,
        )

    def references(self) -> tuple[Reference, ...]:
        """Return the route."""
        return (Reference("route", ResourceId(ResourceKind.ROUTE, self.route)),)
