"""Admission limits of one route."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionLimits:
    """Most requests of the route that one router serves and queues.

    ``service_seconds`` is the initial value of the moving mean of request durations.
    """

    in_progress: int
    queued: int
    service_seconds: float = 1.0
