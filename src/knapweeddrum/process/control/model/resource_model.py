"""Base class of the models of resource specifications."""

from __future__ import annotations

import abc

import msgspec
import pydantic

from knapweeddrum.process.control.field_error import FieldError
from knapweeddrum.process.control.model.reference import Reference

NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$"
"""Names of resources; those of budgets are two of them with a slash between."""


class ResourceModel(pydantic.BaseModel, abc.ABC):
    """A specification as operators send it; unknown fields are refused."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    @abc.abstractmethod
    def to_message(self) -> msgspec.Struct:
        """Return the specification as data for the other processes."""

    def references(self) -> tuple[Reference, ...]:
        """Return each field that names another resource, with that resource."""
        return ()

    def name_errors(self, name: str) -> tuple[FieldError, ...]:
        """Return what is wrong with the specification under this name."""
        return ()
