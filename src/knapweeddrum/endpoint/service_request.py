"""A request to a plain service."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRequest:
    """Method, path and body; ``key`` is the idempotency key or empty."""

    method: str
    path: str
    body: bytes
    content_type: str
    key: str = ""
