"""Settings of the platform's services."""

from __future__ import annotations

import pydantic

from knapweeddrum.settings.strict_model import StrictModel


class PlatformSettings(StrictModel):
    """Addresses of the platform's services, as ``http://IP:port``.

    ``log_retention_seconds`` is how long the log keeps records; ``checkpoint_records``
    is how many records of a stream may follow its newest checkpoint.
    """

    log: str = pydantic.Field(pattern=r"^http://")
    host_list: str = pydantic.Field(pattern=r"^http://")
    weight_store: str = pydantic.Field(pattern=r"^http://")
    log_retention_seconds: float = pydantic.Field(default=86_400.0, gt=0)
    checkpoint_records: int = pydantic.Field(default=2_000, ge=1)
