"""What began a stream."""

from __future__ import annotations

import dataclasses
import hashlib

KEY_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The service and software version of the endpoint that sent the first event."""

    service: str
    software_version: str


def stream_key(organisation: str | None, attempt_id: str) -> str:
    """Return the key of the stream that a caller's attempt began.

    Attempts of two organisations have different keys, whatever their ids.
    """
    text = f"{organisation or ''}\n{attempt_id}"
    digest = hashlib.blake2b(text.encode("utf-8", "replace"), digest_size=KEY_BYTES)
    return digest.hexdigest()
