"""Settings of the platform's services."""

from __future__ import annotations

from typing import Annotated

import pydantic

from knapweeddrum.settings.strict_model import StrictModel
from knapweeddrum.value.ip_url import check_ip_url

IpUrl = Annotated[str, pydantic.AfterValidator(check_ip_url)]


class PlatformSettings(StrictModel):
    """Addresses of the platform's services, as ``http://IP:port``."""

    log: IpUrl
    host_list: IpUrl
    weight_store: IpUrl
