"""Admission for all routes of a router."""

from __future__ import annotations

import random

from knapweeddrum.core.admission.admission_limits import AdmissionLimits
from knapweeddrum.core.admission.admission_queue import AdmissionQueue
from knapweeddrum.core.admission.admission_request import AdmissionRequest
from knapweeddrum.core.admission.admitted import Admitted
from knapweeddrum.core.admission.exceptions import (
    RepeatedRequestError,
    UnknownRouteError,
)
from knapweeddrum.core.admission.queued import Queued
from knapweeddrum.core.admission.refused import Refused
from knapweeddrum.value.identifiers import RouteName


class AdmissionController:
    """One admission queue for each route.

    Routes share no slots, so requests to plain services never queue behind model
    requests. Methods that admit or refuse queued requests return these decisions; the
    caller carries them out. Times are monotonic seconds.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._queues: dict[RouteName, AdmissionQueue] = {}

    def configure(self, route: RouteName, limits: AdmissionLimits) -> None:
        """Add a route or change its limits; requests in progress keep their slots."""
        queue = self._queues.get(route)
        if queue is None:
            self._queues[route] = AdmissionQueue(limits, self._rng)
            return
        queue.limits = limits

    def queue(self, route: RouteName) -> AdmissionQueue:
        """Return the queue of a route; raises UnknownRouteError."""
        queue = self._queues.get(route)
        if queue is None:
            raise UnknownRouteError(f"route {route} has no admission limits")
        return queue

    def offer(
        self, req: AdmissionRequest, now: float
    ) -> tuple[Admitted | Queued | Refused, ...]:
        """Decide on a new request; the first decision is on that request.

        Raises UnknownRouteError and RepeatedRequestError.
        """
        queue = self.queue(req.route)
        if queue.holds(req.request_id):
            raise RepeatedRequestError(
                f"request {req.request_id} is already queued or in progress"
            )
        return queue.offer(req, now)

    def release(
        self, route: RouteName, request_id: str, now: float
    ) -> tuple[Admitted, ...]:
        """Free the slot of a request that ended; return the requests admitted then."""
        queue = self.queue(route)
        queue.release(request_id, now)
        return queue.fill(now)

    def withdraw(
        self, route: RouteName, request_id: str, now: float
    ) -> tuple[Admitted, ...]:
        """Remove a queued request whose caller disconnected; return those admitted."""
        queue = self.queue(route)
        queue.withdraw(request_id)
        return queue.fill(now)

    def poll(self, now: float) -> tuple[Admitted | Refused, ...]:
        """Decide on queued requests of all routes.

        To be called a few times a second, so that requests that can no longer start in
        time are refused early.
        """
        decisions: list[Admitted | Refused] = []
        for queue in self._queues.values():
            decisions += queue.poll(now)
        return tuple(decisions)
