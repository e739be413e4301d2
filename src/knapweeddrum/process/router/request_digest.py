"""Digest that identifies the content of a request."""

from __future__ import annotations

import hashlib


def request_digest(*fields: str | bytes) -> str:
    """Return the SHA-256 of the fields in hexadecimal.

    Each field is preceded by its length, so that moving bytes between fields changes
    the digest.
    """
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
