"""Task that limits the requests in progress by the slots of the endpoints."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from knapweeddrum.core.routing.slots_limit import slots_limit
from knapweeddrum.process.router.admission_task import AdmissionTask
from knapweeddrum.process.router.endpoint_directory import EndpointDirectory
from knapweeddrum.process.router.entry_follower import EntryFollower
from knapweeddrum.process.router.resource_table import ResourceTable
from knapweeddrum.process.router.router_context import RouterContext
from knapweeddrum.value.identifiers import EndpointName

LIMIT_UPDATE_INTERVAL_SECONDS = 1.0


class SlotLimiter:
    """Limits each route to this router's fraction of its endpoints' slots.

    Requests above the limit wait in the admission queue, where priority counts, and
    not at an endpoint.
    """

    def __init__(
        self,
        context: RouterContext,
        table: ResourceTable,
        directory: EndpointDirectory,
        admission: AdmissionTask,
        entry: EntryFollower,
    ) -> None:
        self._clock: Callable[[], float] = context.clock
        self._table = table
        self._directory = directory
        self._admission = admission
        self._entry = entry

    async def run(self) -> None:
        """Update the limits periodically until cancelled."""
        while True:
            await anyio.sleep(LIMIT_UPDATE_INTERVAL_SECONDS)
            self.update()

    def update(self) -> None:
        """Set the limit of each route from the latest load reports."""
        routers = sum(1 for host in self._entry.hosts if host.alive)
        now = self._clock()
        for name, route in self._table.routes.items():
            endpoints = [EndpointName(endpoint) for endpoint in route.endpoints]
            views = self._directory.table.candidates(endpoints, now)
            if views:
                limit = slots_limit(views, routers)
                self._admission.limit(name, route, limit)
