"""Checks of a change against the other resources."""

from __future__ import annotations

from knapweeddrum.message.call.resource_record import ResourceRecord
from knapweeddrum.process.control.config_follower import ConfigFollower
from knapweeddrum.process.control.field_error import FieldError
from knapweeddrum.process.control.model.exceptions import InvalidDocumentError
from knapweeddrum.process.control.model.resource_model import ResourceModel
from knapweeddrum.process.control.model.validation import MODELS
from knapweeddrum.process.control.problems import not_ready
from knapweeddrum.process.control.resource_id import ResourceId
from knapweeddrum.value.resource_kind import ResourceKind


class ResourceChecks:
    """Checks the references between resources in the local copy of the configuration.

    The copy may lag behind the log, so these checks only catch operators' mistakes.
    Between concurrent changes only the order of the log decides.
    """

    def __init__(self, follower: ConfigFollower) -> None:
        self._follower = follower

    def check_references(self, model: ResourceModel) -> None:
        """Raise InvalidDocumentError when a named resource doesn't exist."""
        self._require_copy()
        errors = tuple(
            FieldError(
                f"spec.{reference.field}",
                reference.target.name,
                f"the name of an existing {reference.target.kind}",
            )
            for reference in model.references()
            if self._follower.copy.get(reference.target) is None
        )
        if errors:
            raise InvalidDocumentError(errors)

    def check_unused(self, resource_id: ResourceId) -> None:
        """Raise InvalidDocumentError when another resource names this one."""
        self._require_copy()
        users = [
            f"{record.resource_kind} {record.name}"
            for record in self._follower.copy.resources()
            if resource_id in _targets(record)
        ]
        if users:
            named_by = ", ".join(users)
            allowed = (
                f"a resource that no other refers to; {named_by} refers to this one"
            )
            raise InvalidDocumentError((FieldError("name", resource_id.name, allowed),))

    def _require_copy(self) -> None:
        if not self._follower.copy.ready:
            raise not_ready("no configuration has been read yet")


def _targets(record: ResourceRecord) -> list[ResourceId]:
    """Return the resources that a stored resource names."""
    model = MODELS[ResourceKind(record.resource_kind)]
    parsed = model.model_validate_json(record.body)
    return [reference.target for reference in parsed.references()]
