"""One server-sent event."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvent:
    """Name and data; ``last_id`` is the event id to resume after."""

    name: str
    data: bytes
    last_id: str
