"""The tasks that poll the configured endpoints."""

from __future__ import annotations

import anyio
import anyio.abc

from knapweeddrum.process.router.cache_follower import CacheFollower
from knapweeddrum.process.router.endpoint_directory import EndpointDirectory
from knapweeddrum.process.router.guarded import guarded
from knapweeddrum.process.router.load_poller import LoadPoller
from knapweeddrum.process.router.router_context import RouterContext
from knapweeddrum.value.identifiers import EndpointName


class PollerGroup:
    """Polls the load and the cache events of each endpoint until it is removed."""

    def __init__(
        self,
        context: RouterContext,
        directory: EndpointDirectory,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        self._context = context
        self._directory = directory
        self._tasks = tasks
        self._scopes: dict[EndpointName, anyio.CancelScope] = {}

    def update(self) -> None:
        """Start and stop pollers after a configuration change."""
        names = self._directory.names()
        for removed in [name for name in self._scopes if name not in names]:
            self._scopes.pop(removed).cancel()
        for name in names:
            if name not in self._scopes:
                scope = anyio.CancelScope()
                self._scopes[name] = scope
                self._tasks.start_soon(self._poll, name, scope)

    async def _poll(self, name: EndpointName, scope: anyio.CancelScope) -> None:
        with scope:
            async with anyio.create_task_group() as tasks:
                poller = LoadPoller(self._context, self._directory, name)
                tasks.start_soon(guarded, self._context, "load poller", poller.run)
                if self._directory.engine(name) is not None:
                    follower = CacheFollower(self._context, self._directory, name)
                    tasks.start_soon(
                        guarded, self._context, "cache follower", follower.run
                    )
