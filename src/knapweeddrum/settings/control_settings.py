"""Settings of a control process."""

from __future__ import annotations

import pydantic

from knapweeddrum.settings.strict_model import StrictModel


class ControlSettings(StrictModel):
    """Limits of the resource API, in bytes and seconds.

    ``operator_key_digest`` is the SHA-256 digest (hex) of the token that operators
    present; if it is empty, everybody who can reach the port has access.
    ``keeper_timeout_seconds`` limits each call to a keeper, ``watch_limit`` the watch
    streams open at a time, and ``stop_limit_seconds`` the wait for requests in progress
    when the process stops.
    """

    operator_key_digest: str = pydantic.Field(default="", pattern=r"^([0-9a-f]{64})?$")
    body_limit_bytes: int = pydantic.Field(default=1_000_000, ge=1_000)
    keeper_timeout_seconds: float = pydantic.Field(default=5.0, gt=0, le=300)
    watch_limit: int = pydantic.Field(default=64, ge=1)
    stop_limit_seconds: float = pydantic.Field(default=30.0, gt=0)
