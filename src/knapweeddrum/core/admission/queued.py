"""The decision to queue a request."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """``position`` counts the requests before it; ``predicted_wait`` is in seconds."""

    request_id: str
    position: int
    predicted_wait: float
