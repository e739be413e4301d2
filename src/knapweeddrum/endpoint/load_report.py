"""The load that an endpoint reports."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """``running`` and ``queued`` requests; ``slots`` is how many can run at a time.

    ``leaving`` announces that the endpoint will stop. ``measured_at`` is in Unix
    seconds.
    """

    endpoint: str
    running: int
    queued: int
    slots: int
    leaving: bool
    measured_at: float
