"""One server-sent event."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvent:
    """Name and data; ``last_id`` is the point to resume from after it."""

    name: str
    data: bytes
    last_id: str
