"""A load report as the routing decisions use it."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSample:
    """Requests running and queued, slots in all.

    ``measured_at`` is in monotonic seconds of this process; whoever converts a report
    takes the time of receipt when the clocks of the machines can't be compared.
    """

    running: int
    queued: int
    slots: int
    measured_at: float
    leaving: bool = False

    @property
    def load(self) -> int:
        """Return the requests at the endpoint."""
        return self.running + self.queued
