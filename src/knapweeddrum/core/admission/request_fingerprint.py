"""Fingerprints of requests by content."""

from __future__ import annotations

import hashlib

from knapweeddrum.value.identifiers import RouteName

DIGEST_BYTES = 16


def request_fingerprint(route: RouteName, body: bytes) -> str:
    """Return a digest that is the same whenever the content is sent again."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    digest.update(route.encode())
    digest.update(b"\n")
    digest.update(body)
    return digest.hexdigest()
