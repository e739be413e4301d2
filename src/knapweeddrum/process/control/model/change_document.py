"""The body of a change."""

from __future__ import annotations

import pydantic


class ChangeDocument(pydantic.BaseModel):
    """Version that the change replaces (0: none) and the new specification."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    version: int = pydantic.Field(ge=0)
    spec: dict[str, object]
