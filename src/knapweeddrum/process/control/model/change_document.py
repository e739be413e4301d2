"""The body of a change."""

from __future__ import annotations

import pydantic

from knapweeddrum.process.control.model.limits import INTEGER_LIMIT


class ChangeDocument(pydantic.BaseModel):
    """Version that the change replaces (0: new resource) and the specification."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    version: int = pydantic.Field(ge=0, le=INTEGER_LIMIT)
    spec: dict[str, object]
