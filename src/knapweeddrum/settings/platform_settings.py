"""Settings of the platform's services."""

from __future__ import annotations

import pydantic

from knapweeddrum.settings.strict_model import StrictModel


class PlatformSettings(StrictModel):
    """Addresses of the platform's services, as ``http://IP:port``."""

    log: str = pydantic.Field(pattern=r"^http://")
    host_list: str = pydantic.Field(pattern=r"^http://")
    weight_store: str = pydantic.Field(pattern=r"^http://")
