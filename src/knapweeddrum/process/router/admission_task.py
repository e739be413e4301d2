"""Task that admits requests to routes and queues them."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator, Iterable

import anyio
from anyio.streams.memory import MemoryObjectSendStream

from knapweeddrum.core.admission.admission_controller import AdmissionController
from knapweeddrum.core.admission.admission_limits import AdmissionLimits
from knapweeddrum.core.admission.admission_request import AdmissionRequest
from knapweeddrum.core.admission.admitted import Admitted
from knapweeddrum.core.admission.queued import Queued
from knapweeddrum.core.admission.refused import Refused
from knapweeddrum.message.resource.route import Route
from knapweeddrum.process.router.exceptions import RefusedError
from knapweeddrum.process.router.router_context import RouterContext
from knapweeddrum.value.identifiers import RouteName

ADMISSION_POLL_INTERVAL_SECONDS = 0.1


class AdmissionTask:
    """Offers requests to the admission controller and wakes those it decides on."""

    def __init__(self, context: RouterContext) -> None:
        self._clock = context.clock
        self._controller = AdmissionController(context.rng)
        self._routes: dict[str, Route] = {}
        self._waiters: dict[str, MemoryObjectSendStream[Admitted | Refused]] = {}

    def configure(self, routes: dict[str, Route]) -> None:
        """Apply the limits of a new configuration."""
        for name, route in routes.items():
            if self._routes.get(name) != route:
                self.limit(name, route, route.in_progress_limit)
        self._routes = dict(routes)

    def limit(self, name: str, route: Route, in_progress: int) -> None:
        """Admit at most ``in_progress`` requests, within the limit of the route."""
        limits = AdmissionLimits(
            max_in_progress=max(1, min(in_progress, route.in_progress_limit)),
            max_queued=max(1, route.in_progress_limit),
        )
        self._controller.configure(RouteName(name), limits)

    async def run(self) -> None:
        """Decide on queued requests as time passes, until cancelled."""
        while True:
            await anyio.sleep(ADMISSION_POLL_INTERVAL_SECONDS)
            self._deliver(self._controller.poll(self._clock()))

    @contextlib.asynccontextmanager
    async def slot(self, req: AdmissionRequest) -> AsyncIterator[None]:
        """Hold a slot of a route while the context is open; raises RefusedError."""
        await self._enter(req)
        try:
            yield
        finally:
            now = self._clock()
            self._deliver(self._controller.release(req.route, req.request_id, now))

    async def _enter(self, req: AdmissionRequest) -> None:
        """Return once the request is admitted."""
        own, *others = self._controller.offer(req, self._clock())
        self._deliver(others)
        if isinstance(own, Queued):
            own = await self._wait(req)
        if isinstance(own, Refused):
            raise RefusedError(own.refusal)

    async def _wait(self, req: AdmissionRequest) -> Admitted | Refused:
        """Return the decision on a queued request."""
        send, receive = anyio.create_memory_object_stream[Admitted | Refused](1)
        self._waiters[req.request_id] = send
        try:
            return await receive.receive()
        except anyio.get_cancelled_exc_class():
            self._withdraw(req)
            raise
        finally:
            self._waiters.pop(req.request_id, None)
            send.close()
            receive.close()

    def _withdraw(self, req: AdmissionRequest) -> None:
        """Leave the queue, or release the slot if the request was just admitted."""
        now = self._clock()
        withdrawn = self._controller.withdraw(req.route, req.request_id, now)
        released = self._controller.release(req.route, req.request_id, now)
        self._deliver([*withdrawn, *released])

    def _deliver(self, decisions: Iterable[Admitted | Queued | Refused]) -> None:
        """Wake the waiting requests that were decided on."""
        for decision in decisions:
            waiter = self._waiters.get(decision.request_id)
            if waiter is not None and not isinstance(decision, Queued):
                waiter.send_nowait(decision)
