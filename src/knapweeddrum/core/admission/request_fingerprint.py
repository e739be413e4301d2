"""Fingerprints of requests by content."""

from __future__ import annotations

import hashlib

DIGEST_BYTES = 16


def request_fingerprint(target: str, body: bytes, caller: str = "") -> str:
    """Return a hexadecimal digest, equal for all copies of a request.

    ``target`` names the route or path. Requests of different callers differ, unless
    ``caller`` is empty.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    digest.update(target.encode())
    if caller:
        digest.update(b"\0")
        digest.update(caller.encode())
    digest.update(b"\n")
    digest.update(body)
    return digest.hexdigest()
