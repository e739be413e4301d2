"""The type of an endpoint's address."""

from __future__ import annotations

import ipaddress
import urllib.parse
from typing import Annotated

import pydantic

ADDRESS_FORM = "http://IP:port, with no path"


def check_address(value: str) -> str:
    """Return the address; raises ValueError unless it is ``http://IP:port``."""
    parts = urllib.parse.urlsplit(value)
    try:
        ipaddress.ip_address(parts.hostname or "")
        port = parts.port
    except ValueError as exc:
        raise ValueError(ADDRESS_FORM) from exc
    plain = value == f"{parts.scheme}://{parts.netloc}" and "@" not in parts.netloc
    if parts.scheme != "http" or not port or not plain:
        raise ValueError(ADDRESS_FORM)
    return value


EndpointAddress = Annotated[str, pydantic.AfterValidator(check_address)]
