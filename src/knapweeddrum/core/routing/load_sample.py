"""A load report as the routing decisions use it."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSample:
    """Requests running and queued at an endpoint, and its number of slots.

    ``measured_at`` is in monotonic seconds of this process. If the clocks of the two
    machines can't be compared, the converter of a report sets a local time, such as
    that of the query.
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
