"""Recent rate at which a route serves requests."""

from __future__ import annotations

from knapweeddrum.core.admission.decaying_counter import DecayingCounter
from knapweeddrum.value.priority import Priority

DURATION_WEIGHT = 0.05
"""Weight of the newest duration in the moving mean."""

ADMISSION_WINDOW_SECONDS = 5.0
"""Time constant of the admission rate of each priority."""

MIN_DURATION_SECONDS = 0.001

MIN_SHARE = 0.05
"""Share of the rate that a priority is predicted to get at least."""


class ServiceRate:
    """Predicts the service rate that is left for a priority.

    The rate in all is the number of slots over the moving mean of the durations; what
    higher priorities took of it lately is not available to lower ones.
    """

    def __init__(self, service_seconds: float) -> None:
        self._mean_duration = service_seconds
        self._admissions = {
            priority: DecayingCounter(ADMISSION_WINDOW_SECONDS) for priority in Priority
        }

    def admitted(self, priority: Priority, now: float) -> None:
        """Count an admission."""
        self._admissions[priority].add(now)

    def served(self, duration: float) -> None:
        """Count a request that held its slot for ``duration`` seconds."""
        difference = max(0.0, duration) - self._mean_duration
        self._mean_duration += DURATION_WEIGHT * difference

    def total(self, slots: int) -> float:
        """Return the requests per second of all priorities together."""
        return max(1, slots) / max(MIN_DURATION_SECONDS, self._mean_duration)

    def available(self, priority: Priority, slots: int, now: float) -> float:
        """Return the requests per second that are left for a priority."""
        total = self.total(slots)
        taken = sum(
            counter.rate(now)
            for other, counter in self._admissions.items()
            if other < priority
        )
        return max(total - taken, MIN_SHARE * total)
