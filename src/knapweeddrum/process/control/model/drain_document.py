"""The body of a drain request."""

from __future__ import annotations

import pydantic


class DrainDocument(pydantic.BaseModel):
    """Whether the host is to drain."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    draining: bool = pydantic.Field(strict=True)
