"""The endpoints of a played site, in the list that hosts read."""

from __future__ import annotations

import itertools
import random

import anyio
import anyio.abc

from tests.process.entry.site.site_endpoint import SiteEndpoint
from tests.process.entry.site.site_history import SiteHistory
from tests.process.entry.site.site_shape import (
    ENGINE_SERVICE,
    RECORDS_SERVICE,
    SiteShape,
)
from tests.standins.platform_store import PlatformStore

BEAT_SECONDS = 1.2
MAX_LEAVE_SECONDS = 3.0
"""Longest time beyond the drain delay until an endpoint that leaves may end."""


class SiteEndpoints:
    """Starts endpoints, writes their heartbeats and replaces them."""

    def __init__(
        self,
        shape: SiteShape,
        store: PlatformStore,
        history: SiteHistory,
        seed: int,
    ) -> None:
        self._shape = shape
        self._store = store
        self._history = history
        self._seed = seed
        self._rng = random.Random(f"{seed} endpoints")
        self._running: list[SiteEndpoint] = []
        self._numbers = itertools.count()
        self._tasks: anyio.abc.TaskGroup | None = None

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start all endpoints; they run in ``tasks``."""
        self._tasks = tasks
        for centre in self._shape.data_centres:
            for service, count in (
                (ENGINE_SERVICE, centre.engines),
                (RECORDS_SERVICE, 1),
            ):
                for _ in range(count):
                    await tasks.start(self._run, service, centre.name)
        tasks.start_soon(self._beat)

    async def replace(self, count: int, gap: float) -> None:
        """Replace so many endpoints, one after the other, ``gap`` seconds apart."""
        assert self._tasks is not None
        for endpoint in self._rng.sample(self._running, count):
            await self._tasks.start(self._run, endpoint.service, endpoint.data_centre)
            endpoint.leave()
            await anyio.sleep(gap)

    async def _run(
        self,
        service: str,
        data_centre: str,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        name = f"{service}-{next(self._numbers)}"
        rng = random.Random(f"{self._seed} {name}")
        endpoint = SiteEndpoint(
            name, service, data_centre, self._shape, self._history, rng
        )
        async with endpoint.serve_until_idle():
            self._running.append(endpoint)
            self._list(endpoint)
            task_status.started()
            await endpoint.leaving_begun.wait()
            self._list(endpoint)
            leaves_after = rng.uniform(0.0, MAX_LEAVE_SECONDS)
            await anyio.sleep(self._shape.drain_delay + leaves_after)
        self._running.remove(endpoint)
        self._store.drop("keyed.servers", endpoint.server_id)

    async def _beat(self) -> None:
        while True:
            await anyio.sleep(BEAT_SECONDS)
            for endpoint in self._running:
                self._list(endpoint)

    def _list(self, endpoint: SiteEndpoint) -> None:
        self._store.put("keyed.servers", endpoint.server_id, endpoint.next_entry())
