"""An argument that is a URL with an IP address and a port."""

from __future__ import annotations

import argparse

from knapweeddrum.value.ip_url import IP_URL_FORM, check_ip_url


def ip_url_argument(text: str) -> str:
    """Return the URL; raises ArgumentTypeError unless it is ``http://IP:port``."""
    try:
        return check_ip_url(text)
    except ValueError as exc:
        message = f"got {text!r}, allowed: {IP_URL_FORM}"
        raise argparse.ArgumentTypeError(message) from exc
