"""Fingerprints of requests by content."""

from __future__ import annotations

import hashlib

from knapweeddrum.value.identifiers import RouteName

DIGEST_BYTES = 16


def request_fingerprint(route: RouteName, body: bytes) -> str:
    """Return a hexadecimal digest, equal for all copies of a request."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    digest.update(route.encode())
    digest.update(b"\n")
    digest.update(body)
    return digest.hexdigest()
