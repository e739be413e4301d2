"""Digests that tell one request from another."""

from __future__ import annotations

import hashlib


def request_digest(*fields: str | bytes) -> str:
    """Return the SHA-256 (hex) of the fields; their borders count."""
    digest = hashlib.sha256()
    for field in fields:
        data = (
            field.encode("utf-8", "surrogateescape")
            if isinstance(field, str)
            else field
        )
        digest.update(len(data).to_bytes(8, "big"))
        digest.update(data)
    return digest.hexdigest()
