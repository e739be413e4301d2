"""Type of the address of an endpoint, ``http://IP:port``."""

from __future__ import annotations

from typing import Annotated

import pydantic

from knapweeddrum.value.ip_url import check_ip_url

EndpointAddress = Annotated[str, pydantic.AfterValidator(check_ip_url)]
