"""Base class of the models of resource specifications."""

from __future__ import annotations

import abc

import msgspec
import pydantic

from knapweeddrum.process.control.field_error import FieldError
from knapweeddrum.process.control.model.reference import Reference

NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$"
"""Pattern of resource names; a budget has two such names joined by a slash."""


class ResourceModel(pydantic.BaseModel, abc.ABC):
    """A specification that an operator sends; unknown fields are errors."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    @abc.abstractmethod
    def to_message(self) -> msgspec.Struct:
        """Return the specification as the other processes read it."""

    def references(self) -> tuple[Reference, ...]:
        """Return the fields that refer to other resources."""
        return ()

    def name_errors(self, name: str) -> tuple[FieldError, ...]:
        """Return the fields that contradict the resource's name."""
        return ()
