"""Settings of the fleet."""

from __future__ import annotations

import pydantic

from knapweeddrum.settings.strict_model import StrictModel


class FleetSettings(StrictModel):
    """Name and shared key by which the processes of a fleet authenticate each other."""

    name: str = pydantic.Field(min_length=1, max_length=64)
    key: str = pydantic.Field(min_length=16, max_length=256)
