"""Settings of a router."""

from __future__ import annotations

import pydantic

from knapweeddrum.settings.strict_model import StrictModel


class RouterSettings(StrictModel):
    """Limits of the router for its callers, in bytes and seconds.

    ``default_deadline_seconds`` applies to a request that names no deadline.
    ``advice_lifetime_seconds`` is how long callers may use a list of entry hosts.
    ``drain_limit_seconds`` is the longest drain; streams still open then are stopped.
    Above ``in_progress_limit`` requests in progress, the router refuses new ones.
    """

    body_limit_bytes: int = pydantic.Field(default=1_000_000, ge=1_000)
    header_limit_bytes: int = pydantic.Field(default=16_384, ge=1_024)
    default_deadline_seconds: float = pydantic.Field(default=60.0, gt=0)
    advice_lifetime_seconds: float = pydantic.Field(default=10.0, gt=0, le=3600)
    drain_limit_seconds: float = pydantic.Field(default=120.0, gt=0)
    in_progress_limit: int = pydantic.Field(default=2_000, ge=1)
