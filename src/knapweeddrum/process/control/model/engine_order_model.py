"""Model of the resource ``engine-order``."""

from __future__ import annotations

import pydantic

from knapweeddrum.message.resource.engine_order import EngineOrderSpec
from knapweeddrum.process.control.field_error import FieldError
from knapweeddrum.process.control.model.reference import Reference
from knapweeddrum.process.control.model.resource_model import (
    NAME_PATTERN,
    ResourceModel,
)
from knapweeddrum.process.control.resource_id import ResourceId
from knapweeddrum.value.engine_action import EngineAction
from knapweeddrum.value.resource_kind import ResourceKind


class EngineOrderModel(ResourceModel):
    """An order to the engine that the resource is named after.

    ``release_issuer`` repeats the incarnation of an issuer that the operator knows to
    be gone; see docs/design/020-engine-orders.md.
    """

    endpoint: str = pydantic.Field(pattern=NAME_PATTERN)
    action: EngineAction
    model: str = pydantic.Field(default="", max_length=128)
    version: str = pydantic.Field(default="", max_length=128)
    adapter: str = pydantic.Field(default="", max_length=128)
    role: str = pydantic.Field(default="", max_length=128)
    release_issuer: str = pydantic.Field(default="", max_length=256)

    @pydantic.model_validator(mode="after")
    def _names_its_object(self) -> EngineOrderModel:
        if self.action is EngineAction.ROLE and not self.role:
            raise ValueError("the action role needs the field role")
        if self.action is not EngineAction.ROLE and not self.model:
            raise ValueError(f"the action {self.action} needs the field model")
        return self

    def to_message(self) -> EngineOrderSpec:
        """Return the order in the state ``requested``."""
        return EngineOrderSpec(
            endpoint=self.endpoint,
            action=self.action,
            model=self.model,
            version=self.version,
            adapter=self.adapter,
            role=self.role,
        )

    def references(self) -> tuple[Reference, ...]:
        """Return the endpoint."""
        target = ResourceId(ResourceKind.ENDPOINT, self.endpoint)
        return (Reference("endpoint", target),)

    def name_errors(self, name: str) -> tuple[FieldError, ...]:
        """Return an error unless the order is named after its endpoint."""
        if name == self.endpoint:
            return ()
        allowed = f"{name}, the name of the order"
        return (FieldError("spec.endpoint", self.endpoint, allowed),)
