"""Task that polls the load of one endpoint."""

from __future__ import annotations

import anyio

from knapweeddrum.core.routing.load_sample import LoadSample
from knapweeddrum.endpoint.exceptions import EndpointError
from knapweeddrum.process.router.endpoint_directory import EndpointDirectory
from knapweeddrum.process.router.router_context import RouterContext
from knapweeddrum.value.identifiers import EndpointName

SHORTEST_LOAD_POLL_INTERVAL_SECONDS = 0.5

LOAD_POLLS_PER_SECOND = 8.0
"""Rate of polls of all endpoints together, which bounds their cost per router."""

LOAD_POLL_TIMEOUT_SECONDS = 2.0


class LoadPoller:
    """Polls the load reports of one endpoint and records them.

    The interval grows with the number of endpoints.
    """

    def __init__(
        self, context: RouterContext, directory: EndpointDirectory, name: EndpointName
    ) -> None:
        self._context = context
        self._directory = directory
        self._name = name

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            count = len(self._directory.names())
            interval = max(
                SHORTEST_LOAD_POLL_INTERVAL_SECONDS, count / LOAD_POLLS_PER_SECOND
            )
            await anyio.sleep(interval * self._context.rng.uniform(0.8, 1.2))

    async def poll(self) -> None:
        """Record one report; without a reply, only attempts count for the health."""
        client = self._directory.engine(self._name) or self._directory.service(
            self._name
        )
        if client is None:
            return
        asked_at = self._context.clock()
        try:
            with anyio.fail_after(LOAD_POLL_TIMEOUT_SECONDS):
                report = await client.load()
        except (EndpointError, TimeoutError):
            return
        sample = LoadSample(
            running=report.running,
            queued=report.queued,
            slots=report.slots,
            measured_at=asked_at,
            leaving=report.leaving,
        )
        self._directory.table.record_load(self._name, sample)
