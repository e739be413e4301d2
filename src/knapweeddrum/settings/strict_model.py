"""Base class of the settings models."""

from __future__ import annotations

import pydantic


class StrictModel(pydantic.BaseModel):
    """An immutable model that rejects unknown fields."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)
