"""Recent rate at which a route serves requests."""

from __future__ import annotations

from knapweeddrum.core.admission.decaying_counter import DecayingCounter
from knapweeddrum.value.priority import Priority

DURATION_WEIGHT = 0.05
"""Weight of the newest duration in the exponential moving mean."""

ADMISSION_DECAY_SECONDS = 5.0
"""Time constant of the decaying admission rate of each priority."""

MIN_DURATION_SECONDS = 0.001

MIN_RATE_FRACTION = 0.05
"""Least fraction of the total rate that is predicted for a priority."""


class ServiceRate:
    """Predicts the service rate that is left for a priority.

    The total rate is the number of slots divided by the moving mean of the durations.
    The recent admission rate of higher priorities is subtracted from it.
    """

    def __init__(self, initial_service_seconds: float) -> None:
        self._mean_duration = initial_service_seconds
        self._admissions = {
            priority: DecayingCounter(ADMISSION_DECAY_SECONDS) for priority in Priority
        }

    def record_admission(self, priority: Priority, now: float) -> None:
        """Record an admission."""
        self._admissions[priority].add(now)

    def record_duration(self, duration: float) -> None:
        """Record a request that held its slot for ``duration`` seconds."""
        difference = max(0.0, duration) - self._mean_duration
        self._mean_duration += DURATION_WEIGHT * difference

    def total_rate(self, slots: int) -> float:
        """Return the predicted requests per second of all priorities together."""
        return max(1, slots) / max(MIN_DURATION_SECONDS, self._mean_duration)

    def available_rate(self, priority: Priority, slots: int, now: float) -> float:
        """Return the predicted requests per second left for a priority."""
        total = self.total_rate(slots)
        taken = sum(
            counter.rate(now)
            for other, counter in self._admissions.items()
            if other < priority
        )
        return max(total - taken, MIN_RATE_FRACTION * total)
