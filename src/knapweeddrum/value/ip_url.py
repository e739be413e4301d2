"""Validation of HTTP URLs that consist of an IP address and a port."""

from __future__ import annotations

import ipaddress
import urllib.parse

IP_URL_FORM = "http://IP:port without a path"


def check_ip_url(text: str) -> str:
    """Return ``text``; raises ValueError unless it is ``http://IP:port``."""
    parts = urllib.parse.urlsplit(text)
    try:
        address = ipaddress.ip_address(parts.hostname or "")
        port = parts.port
    except ValueError as exc:
        raise ValueError(IP_URL_FORM) from exc
    host = f"[{address}]" if address.version == 6 else str(address)
    if not port or text != f"http://{host}:{port}":
        raise ValueError(IP_URL_FORM)
    return text
