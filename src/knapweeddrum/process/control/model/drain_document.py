"""The body of a drain request."""

from __future__ import annotations

import pydantic


class DrainDocument(pydantic.BaseModel):
    """Whether to start or to end the drain of the host."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    draining: bool = pydantic.Field(strict=True)
