"""Settings of the platform's services."""

from __future__ import annotations

from typing import Annotated

import pydantic

from knapweeddrum.settings.strict_model import StrictModel
from knapweeddrum.value.ip_url import check_ip_url

IpUrl = Annotated[str, pydantic.AfterValidator(check_ip_url)]


class PlatformSettings(StrictModel):
    """Addresses of the platform's log and host list, as ``http://IP:port``.

    ``log_retention_seconds`` is how long the log keeps records. A checkpoint is written
    once ``checkpoint_records`` records of a stream follow its newest one.
    """

    log: IpUrl
    host_list: IpUrl
    log_retention_seconds: float = pydantic.Field(default=86_400.0, gt=0)
    checkpoint_records: int = pydantic.Field(default=2_000, ge=1)
