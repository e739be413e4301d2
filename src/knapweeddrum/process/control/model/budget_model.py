"""Model of the resource ``budget``."""

from __future__ import annotations

import pydantic

from knapweeddrum.message.resource.budget import Budget
from knapweeddrum.process.control.field_error import FieldError
from knapweeddrum.process.control.model.reference import Reference
from knapweeddrum.process.control.model.resource_model import (
    NAME_PATTERN,
    ResourceModel,
)
from knapweeddrum.process.control.resource_id import ResourceId
from knapweeddrum.value.resource_kind import ResourceKind


class BudgetModel(ResourceModel):
    """A budget, which is named ``organisation/budget``."""

    organisation: str = pydantic.Field(pattern=NAME_PATTERN)
    description: str = pydantic.Field(default="", max_length=500)

    def to_message(self) -> Budget:
        """Return the specification as the other processes read it."""
        return Budget(organisation=self.organisation, description=self.description)

    def references(self) -> tuple[Reference, ...]:
        """Return the organisation."""
        target = ResourceId(ResourceKind.ORGANISATION, self.organisation)
        return (Reference("organisation", target),)

    def name_errors(self, name: str) -> tuple[FieldError, ...]:
        """Return an error when the name belongs to another organisation."""
        owner = name.partition("/")[0]
        if owner == self.organisation:
            return ()
        allowed = f"{owner}, the part of the budget's name before the slash"
        return (FieldError("spec.organisation", self.organisation, allowed),)
