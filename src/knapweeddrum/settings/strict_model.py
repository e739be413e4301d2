"""Base class of the settings models."""

from __future__ import annotations

import pydantic


class StrictModel(pydantic.BaseModel):
    """A model that refuses unknown fields and can't be changed."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)
