"""Start-time fair queue of one priority."""

from __future__ import annotations

import bisect

from knapweeddrum.core.admission.admission_request import AdmissionRequest
from knapweeddrum.core.admission.queue_entry import QueueEntry
from knapweeddrum.value.identifiers import OrganisationName


class FairQueue:
    """Shares service between organisations by weight.

    A request's start tag is the virtual time, or the finish tag of its organisation's
    last request if that is later; its finish tag is the start tag plus cost divided by
    weight. The smallest start tag is served first. Only finish tags later than the
    virtual time are kept.
    """

    def __init__(self) -> None:
        self._entries: list[QueueEntry] = []
        self._finish_tags: dict[OrganisationName, float] = {}
        self._virtual_time = 0.0
        self._next_arrival = 0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def entries(self) -> tuple[QueueEntry, ...]:
        """Return the entries in order of service."""
        return tuple(self._entries)

    def position(self, req: AdmissionRequest) -> int:
        """Return how many entries would be served before a new request."""
        order = (self._start_tag(req), self._next_arrival)
        return bisect.bisect_left(self._entries, order, key=_order)

    def push(
        self, req: AdmissionRequest, queued_at: float, refuse_at: float
    ) -> QueueEntry:
        """Add a request and charge its organisation."""
        start_tag = self._start_tag(req)
        entry = QueueEntry(req, start_tag, self._next_arrival, queued_at, refuse_at)
        self._next_arrival += 1
        self._finish_tags[req.organisation] = start_tag + req.cost / req.weight
        bisect.insort(self._entries, entry, key=_order)
        return entry

    def pop(self) -> QueueEntry:
        """Remove and return the entry to be served next; there must be one."""
        entry = self._entries.pop(0)
        self._virtual_time = max(self._virtual_time, entry.start_tag)
        self._drop_passed_finish_tags()
        return entry

    def charge_unqueued(self, req: AdmissionRequest) -> None:
        """Charge the organisation of a request that is served without queueing."""
        start_tag = self._start_tag(req)
        self._finish_tags[req.organisation] = start_tag + req.cost / req.weight
        self._virtual_time = max(self._virtual_time, start_tag)
        self._drop_passed_finish_tags()

    def last(self) -> QueueEntry | None:
        """Return the entry that would be served last."""
        return self._entries[-1] if self._entries else None

    def remove(self, entry: QueueEntry) -> None:
        """Remove an entry that is not served and refund its organisation."""
        self._entries.remove(entry)
        organisation = entry.req.organisation
        finish_tag = self._finish_tags.get(organisation)
        if finish_tag is not None:
            charge = entry.req.cost / entry.req.weight
            self._finish_tags[organisation] = finish_tag - charge

    def _start_tag(self, req: AdmissionRequest) -> float:
        finish_tag = self._finish_tags.get(req.organisation, 0.0)
        return max(self._virtual_time, finish_tag)

    def _drop_passed_finish_tags(self) -> None:
        idle = [
            name
            for name, finish_tag in self._finish_tags.items()
            if finish_tag <= self._virtual_time
        ]
        for name in idle:
            del self._finish_tags[name]


def _order(entry: QueueEntry) -> tuple[float, int]:
    return entry.order
