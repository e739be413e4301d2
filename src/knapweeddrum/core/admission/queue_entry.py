"""A request in an admission queue."""

from __future__ import annotations

import dataclasses

from knapweeddrum.core.admission.admission_request import AdmissionRequest


@dataclasses.dataclass(frozen=True, slots=True)
class QueueEntry:
    """A queued request with its fair-queueing start tag.

    ``arrival`` is a sequence number that orders entries with the same start tag.
    ``queued_at`` and ``refuse_at`` are in monotonic seconds; after the latter the
    request is refused.
    """

    req: AdmissionRequest
    start_tag: float
    arrival: int
    queued_at: float
    refuse_at: float

    @property
    def order(self) -> tuple[float, int]:
        """Return the key that the queue is sorted by."""
        return (self.start_tag, self.arrival)
