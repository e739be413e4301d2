"""Load that an endpoint reports of itself."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Requests running and queued, slots in all; ``measured_at`` is Unix seconds."""

    endpoint: str
    running: int
    queued: int
    slots: int
    leaving: bool
    measured_at: float
