"""Validation of the servers' addresses."""

from __future__ import annotations

import ipaddress
import urllib.parse

SERVER_FORM = "http://IP:port"


def server_url(text: str) -> str:
    """Return the URL of a server; raises ValueError unless it is ``http://IP:port``."""
    url = text.strip().rstrip("/")
    parts = urllib.parse.urlsplit(url)
    ipaddress.ip_address(parts.hostname or "")
    if parts.scheme != "http" or parts.port is None or parts.path:
        raise ValueError(SERVER_FORM)
    return url
