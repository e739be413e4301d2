"""Settings of a router."""

from __future__ import annotations

import pydantic

from knapweeddrum.settings.strict_model import StrictModel


class RouterSettings(StrictModel):
    """Limits at the callers' border, in bytes and seconds."""

    body_limit_bytes: int = pydantic.Field(default=1_000_000, ge=1_000)
    header_limit_bytes: int = pydantic.Field(default=16_384, ge=1_024)
    default_deadline_seconds: float = pydantic.Field(default=60.0, gt=0)
    advice_lifetime_seconds: float = pydantic.Field(default=10.0, gt=0, le=3600)
    drain_limit_seconds: float = pydantic.Field(default=120.0, gt=0)
    in_progress_limit: int = pydantic.Field(default=2_000, ge=1)
