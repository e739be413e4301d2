"""Checks of a change against the other resources."""

from __future__ import annotations

import msgspec

from knapweeddrum.message.call.resource_record import ResourceRecord
from knapweeddrum.message.resource.endpoint import Endpoint
from knapweeddrum.message.resource.engine_order import EngineOrderSpec
from knapweeddrum.process.control.config_follower import ConfigFollower
from knapweeddrum.process.control.exceptions import ProblemError
from knapweeddrum.process.control.field_error import FieldError
from knapweeddrum.process.control.model.engine_order_model import EngineOrderModel
from knapweeddrum.process.control.model.exceptions import InvalidDocumentError
from knapweeddrum.process.control.model.resource_model import ResourceModel
from knapweeddrum.process.control.model.validation import MODELS
from knapweeddrum.process.control.problem import Problem
from knapweeddrum.process.control.problems import not_ready
from knapweeddrum.process.control.resource_id import ResourceId
from knapweeddrum.value.control_refusal_reason import ControlRefusalReason
from knapweeddrum.value.order_state import OrderState
from knapweeddrum.value.resource_kind import ResourceKind


class ResourceChecks:
    """Checks against this process's copy of the configuration.

    The copy may lag behind the log by a moment, so these checks guard against
    mistakes; what must hold in a race is decided by the log's order alone.
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
            allowed = f"a resource that no other names; this is named by {named_by}"
            raise InvalidDocumentError((FieldError("name", resource_id.name, allowed),))

    def check_order(
        self,
        resource_id: ResourceId,
        model: ResourceModel | None,
        base_version: int,
    ) -> None:
        """Raise ProblemError when an order to the engine is still outstanding.

        An engine that ignores fencing numbers must not get an order from a second
        issuer while the first may yet send its own.
        """
        if resource_id.kind != ResourceKind.ENGINE_ORDER:
            return
        self._require_copy()
        record = self._follower.copy.get(resource_id)
        if record is None:
            return
        if record.version < base_version:
            raise not_ready("this control process has yet to read that version")
        order = msgspec.json.decode(record.body, type=EngineOrderSpec)
        if order.state is not OrderState.ISSUING or self._is_fenced(order):
            return
        released = model.release_issuer if isinstance(model, EngineOrderModel) else ""
        if released != order.issuer:
            raise _outstanding(record, order)

    def _is_fenced(self, order: EngineOrderSpec) -> bool:
        """Return whether the engine refuses the older order if it comes late."""
        target = ResourceId(ResourceKind.ENDPOINT, order.endpoint)
        record = self._follower.copy.get(target)
        if record is None:
            return False
        endpoint = msgspec.json.decode(record.body, type=Endpoint)
        return order.checks_fence and endpoint.checks_fence

    def _require_copy(self) -> None:
        if not self._follower.copy.ready:
            raise not_ready("no configuration has been read yet")


def _targets(record: ResourceRecord) -> list[ResourceId]:
    """Return the resources that a stored resource names."""
    if record.resource_kind == ResourceKind.ENGINE_ORDER:
        return []
    model = MODELS[ResourceKind(record.resource_kind)]
    parsed = model.model_validate_json(record.body)
    return [reference.target for reference in parsed.references()]


def _outstanding(record: ResourceRecord, order: EngineOrderSpec) -> ProblemError:
    detail = (
        f"the order to {order.endpoint} is outstanding at {order.issuer}; wait for it, "
        f"or name that incarnation in release_issuer when it is known to be gone"
    )
    return ProblemError(
        Problem(
            ControlRefusalReason.ORDER_OUTSTANDING,
            detail,
            version=record.version,
            offset=record.offset,
        )
    )
