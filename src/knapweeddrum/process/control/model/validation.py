"""Validation of the documents that operators send."""

from __future__ import annotations

import re
from typing import TypeVar

import pydantic

from knapweeddrum.process.control.field_error import FieldError
from knapweeddrum.process.control.model.budget_model import BudgetModel
from knapweeddrum.process.control.model.endpoint_model import EndpointModel
from knapweeddrum.process.control.model.exceptions import InvalidDocumentError
from knapweeddrum.process.control.model.organisation_model import OrganisationModel
from knapweeddrum.process.control.model.resource_model import (
    NAME_PATTERN,
    ResourceModel,
)
from knapweeddrum.process.control.model.route_model import RouteModel
from knapweeddrum.process.control.model.rule_model import RuleModel
from knapweeddrum.value.resource_kind import ResourceKind

MODELS: dict[ResourceKind, type[ResourceModel]] = {
    ResourceKind.ORGANISATION: OrganisationModel,
    ResourceKind.BUDGET: BudgetModel,
    ResourceKind.ROUTE: RouteModel,
    ResourceKind.RULE: RuleModel,
    ResourceKind.ENDPOINT: EndpointModel,
}

BUDGET_NAME_FORM = "organisation/budget"
VALUE_LENGTH_LIMIT = 200
"""Longest quotation of an invalid value in an error, in characters."""

MISSING_FIELD = "missing"
"""pydantic's type of error for a required field that is absent."""

ModelT = TypeVar("ModelT", bound=pydantic.BaseModel)


def parse_document(model: type[ModelT], body: bytes) -> ModelT:
    """Return the parsed JSON document; raises InvalidDocumentError."""
    try:
        return model.model_validate_json(body)
    except pydantic.ValidationError as exc:
        raise InvalidDocumentError(field_errors(exc, "")) from exc


def validate_spec(kind: ResourceKind, name: str, spec: object) -> ResourceModel:
    """Return the validated specification; raises InvalidDocumentError.

    Doesn't check whether the resources that it refers to exist.
    """
    errors = name_form_errors(kind, name)
    if errors:
        raise InvalidDocumentError(errors)
    try:
        model = MODELS[kind].model_validate(spec)
    except pydantic.ValidationError as exc:
        raise InvalidDocumentError(field_errors(exc, "spec")) from exc
    errors = model.name_errors(name)
    if errors:
        raise InvalidDocumentError(errors)
    return model


def name_form_errors(kind: ResourceKind, name: str) -> tuple[FieldError, ...]:
    """Return an error unless the name is well-formed for its kind."""
    parts = name.split("/")
    wanted = 2 if kind is ResourceKind.BUDGET else 1
    if len(parts) == wanted and all(re.match(NAME_PATTERN, part) for part in parts):
        return ()
    allowed = f"each part matches {NAME_PATTERN}"
    if kind is ResourceKind.BUDGET:
        allowed = f"{BUDGET_NAME_FORM}, {allowed}"
    return (FieldError("name", name[:VALUE_LENGTH_LIMIT], allowed),)


def field_errors(exc: pydantic.ValidationError, prefix: str) -> tuple[FieldError, ...]:
    """Return an error for each invalid field; ``prefix`` precedes their paths."""
    found = []
    for error in exc.errors():
        parts = [prefix, *(str(part) for part in error["loc"])]
        field = ".".join(part for part in parts if part) or "(whole body)"
        missing = error["type"] == MISSING_FIELD
        value = "nothing" if missing else repr(error["input"])[:VALUE_LENGTH_LIMIT]
        allowed = error["msg"].removeprefix("Value error, ")
        found.append(FieldError(field, value, allowed))
    return tuple(found)
