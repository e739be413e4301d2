"""A request in an admission queue."""

from __future__ import annotations

import dataclasses

from knapweeddrum.core.admission.admission_request import AdmissionRequest


@dataclasses.dataclass(frozen=True, slots=True)
class QueueEntry:
    """A queued request with its fair-queueing start tag.

    ``number`` orders entries with the same start tag by arrival. ``queued_at`` and
    ``give_up_at`` are in monotonic seconds; after the latter it is refused.
    """

    req: AdmissionRequest
    start_tag: float
    number: int
    queued_at: float
    give_up_at: float

    @property
    def order(self) -> tuple[float, int]:
        """Return the key that the queue is sorted by."""
        return (self.start_tag, self.number)
