"""An answer of a plain service."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceReply:
    """HTTP status, content type and body."""

    status: int
    content_type: str
    body: bytes
