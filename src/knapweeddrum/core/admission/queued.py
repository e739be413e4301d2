"""The decision to let a request wait."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """``position`` counts the requests before it, ``predicted_wait`` in seconds."""

    request_id: str
    position: int
    predicted_wait: float
