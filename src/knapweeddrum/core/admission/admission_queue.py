"""Admission queue of one route: its slots and the requests that wait for one."""

from __future__ import annotations

import dataclasses
import math
import random

from knapweeddrum.core.admission.admission_limits import AdmissionLimits
from knapweeddrum.core.admission.admission_request import AdmissionRequest
from knapweeddrum.core.admission.admitted import Admitted
from knapweeddrum.core.admission.fair_queue import FairQueue
from knapweeddrum.core.admission.queue_entry import QueueEntry
from knapweeddrum.core.admission.queued import Queued
from knapweeddrum.core.admission.refused import Refused
from knapweeddrum.core.admission.retry_after import RetryAfter
from knapweeddrum.core.admission.service_rate import ServiceRate
from knapweeddrum.value.priority import Priority
from knapweeddrum.value.refusal import Refusal
from knapweeddrum.value.refusal_reason import RefusalReason

SLOT_FRACTIONS = {Priority.LIVE: 1.0, Priority.SUMMARY: 0.9, Priority.REVIEW: 0.75}
"""A request starts only while less than this fraction of the slots is in use."""

EXTRA_REVIEW_SLOTS_FRACTION = 1 / 32
"""Extra slots that only reviews may use, as a fraction of the regular slots."""

MAX_WAIT_FRACTION = 0.5
"""Fraction of the time to its deadline that a request may spend in the queue."""

LATE_PREDICTION_FACTOR = 1.5
"""A queued request is refused when its predicted wait exceeds this multiple of the
time that it may still wait."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Running:
    priority: Priority
    started_at: float


class AdmissionQueue:
    """Admits requests of one route by priority and fair share.

    Live requests are admitted before summaries, summaries before reviews. Lower
    priorities may not take the last slots, so that a live request seldom waits for a
    slot. A few extra slots beyond the limit are reserved for reviews, so that reviews
    make progress under any load without taking slots from others. The priorities that
    the model engines apply keep these reviews from delaying live answers. Times are
    monotonic seconds.
    """

    def __init__(self, limits: AdmissionLimits, rng: random.Random) -> None:
        self.limits = limits
        self._queues = {priority: FairQueue() for priority in Priority}
        self._running: dict[str, _Running] = {}
        self._running_reviews = 0
        self._waiting: dict[str, QueueEntry] = {}
        self._rate = ServiceRate(limits.initial_service_seconds)
        self._retry_after = RetryAfter(rng)

    @property
    def in_progress(self) -> int:
        """Return the number of admitted requests that are not released yet."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Return the number of queued requests."""
        return len(self._waiting)

    def holds(self, request_id: str) -> bool:
        """Return whether a request is queued or in progress here."""
        return request_id in self._running or request_id in self._waiting

    def offer(
        self, req: AdmissionRequest, now: float
    ) -> tuple[Admitted | Queued | Refused, ...]:
        """Decide on a new request.

        The first decision is on that request. A second one, if any, refuses a queued
        request that the new one displaced from a full queue.
        """
        if now >= req.deadline:
            return (Refused(req.request_id, Refusal(RefusalReason.DEADLINE)),)
        if self._may_start(req.priority) and self._has_none_before(req.priority):
            self._queues[req.priority].charge_unqueued(req)
            self._start(req, now)
            return (Admitted(req.request_id),)
        return self._enqueue_or_refuse(req, now)

    def release(self, request_id: str, now: float) -> None:
        """Free the slot of a request that ended."""
        running = self._running.pop(request_id, None)
        if running is None:
            return
        self._rate.record_duration(now - running.started_at)
        self._running_reviews -= running.priority is Priority.REVIEW

    def withdraw(self, request_id: str) -> None:
        """Remove a queued request, for example because its caller disconnected."""
        entry = self._waiting.pop(request_id, None)
        if entry is not None:
            self._queues[entry.req.priority].remove(entry)

    def poll(self, now: float) -> tuple[Admitted | Refused, ...]:
        """Refuse queued requests that would start too late, then fill free slots."""
        return (*self._refuse_late(now), *self.fill(now))

    def fill(self, now: float) -> tuple[Admitted, ...]:
        """Admit queued requests into free slots."""
        admitted = []
        for priority, queue in self._queues.items():
            while len(queue) and self._may_start(priority):
                entry = queue.pop()
                del self._waiting[entry.req.request_id]
                self._start(entry.req, now)
                waited = now - entry.queued_at
                admitted.append(Admitted(entry.req.request_id, waited))
        return tuple(admitted)

    def predicted_wait(self, priority: Priority, position: int, now: float) -> float:
        """Return the predicted seconds until a queued request starts.

        ``position`` is the number of requests of the same priority before it; queued
        requests of higher priorities are added here.
        """
        slots = self._slot_limit(priority)
        ahead = self._queued_above(priority) / self._rate.total_rate(slots)
        own = (position + 1) / self._rate.available_rate(priority, slots, now)
        return ahead + own

    def _enqueue_or_refuse(
        self, req: AdmissionRequest, now: float
    ) -> tuple[Queued | Refused, ...]:
        position = self._queues[req.priority].position(req)
        wait = self.predicted_wait(req.priority, position, now)
        max_wait = MAX_WAIT_FRACTION * (req.deadline - now)
        if wait > max_wait:
            return (self._refuse(req, wait, now),)
        displaced: tuple[Refused, ...] = ()
        if self.waiting >= self.limits.max_queued:
            displaceable = self._displaceable_entry(req)
            if displaceable is None:
                return (self._refuse(req, wait, now),)
            displaced = (self._displace(displaceable, now),)
        entry = self._queues[req.priority].push(req, now, now + max_wait)
        self._waiting[req.request_id] = entry
        before = position + self._queued_above(req.priority)
        return (Queued(req.request_id, before, wait), *displaced)

    def _queued_above(self, priority: Priority) -> int:
        return sum(
            len(queue) for other, queue in self._queues.items() if other < priority
        )

    def _displaceable_entry(self, req: AdmissionRequest) -> QueueEntry | None:
        """Return the entry that would be served last, if ``req`` would precede it."""
        for priority in reversed(Priority):
            last = self._queues[priority].last()
            if last is None:
                continue
            if priority > req.priority:
                return last
            if priority < req.priority:
                return None
            is_last = self._queues[priority].position(req) == len(
                self._queues[priority]
            )
            return None if is_last else last
        return None

    def _displace(self, entry: QueueEntry, now: float) -> Refused:
        self.withdraw(entry.req.request_id)
        wait = self._wait_of_new_request(entry.req, now)
        return self._refuse(entry.req, wait, now)

    def _wait_of_new_request(self, req: AdmissionRequest, now: float) -> float:
        position = self._queues[req.priority].position(req)
        return self.predicted_wait(req.priority, position, now)

    def _refuse(self, req: AdmissionRequest, wait: float, now: float) -> Refused:
        rate = self._rate.available_rate(
            req.priority, self._slot_limit(req.priority), now
        )
        seconds = self._retry_after.seconds(wait, rate, now)
        return Refused(
            req.request_id, Refusal(RefusalReason.OVERLOADED, retry_after=seconds)
        )

    def _refuse_late(self, now: float) -> list[Refused]:
        late = []
        for priority, queue in self._queues.items():
            ahead = 0
            for entry in queue.entries:
                wait = self.predicted_wait(priority, ahead, now)
                remaining_wait = entry.refuse_at - now
                if (
                    remaining_wait <= 0.0
                    or wait > LATE_PREDICTION_FACTOR * remaining_wait
                ):
                    self.withdraw(entry.req.request_id)
                    late.append(self._refuse(entry.req, wait, now))
                else:
                    ahead += 1
        return late

    def _start(self, req: AdmissionRequest, now: float) -> None:
        self._running[req.request_id] = _Running(req.priority, now)
        self._running_reviews += req.priority is Priority.REVIEW
        self._rate.record_admission(req.priority, now)

    def _has_none_before(self, priority: Priority) -> bool:
        """Return whether no request of this or a higher priority is queued."""
        return not any(
            len(queue) for other, queue in self._queues.items() if other <= priority
        )

    def _may_start(self, priority: Priority) -> bool:
        if self.in_progress - self._reviews_in_extra_slots() < self._slot_limit(
            priority
        ):
            return True
        return priority is Priority.REVIEW and self._has_extra_review_slot()

    def _slot_limit(self, priority: Priority) -> int:
        return max(
            1, math.floor(SLOT_FRACTIONS[priority] * self.limits.max_in_progress)
        )

    def _extra_review_slots(self) -> int:
        return max(
            1, math.floor(EXTRA_REVIEW_SLOTS_FRACTION * self.limits.max_in_progress)
        )

    def _has_extra_review_slot(self) -> bool:
        return self._running_reviews < self._extra_review_slots()

    def _reviews_in_extra_slots(self) -> int:
        """Return the number of running reviews that occupy the extra slots."""
        return min(self._running_reviews, self._extra_review_slots())
