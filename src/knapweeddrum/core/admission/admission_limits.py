"""Admission limits of one route."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionLimits:
    """Requests in progress and queued at this router.

    ``service_seconds`` is the mean time that a request is expected to take until some
    have been served.
    """

    in_progress: int
    queued: int
    service_seconds: float = 1.0
