"""Admission limits of one route."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionLimits:
    """Most requests of the route that one router serves and queues.

    ``initial_service_seconds`` starts the moving mean of request durations.
    """

    max_in_progress: int
    max_queued: int
    initial_service_seconds: float = 1.0
