"""Task that follows which prompt prefixes one engine has cached."""

from __future__ import annotations

import anyio

from knapweeddrum.endpoint.cache_event import CacheEvent
from knapweeddrum.endpoint.exceptions import EndpointError
from knapweeddrum.process.router.endpoint_directory import EndpointDirectory
from knapweeddrum.process.router.router_context import RouterContext
from knapweeddrum.value.identifiers import EndpointName

CACHE_POLL_INTERVAL_SECONDS = 2.0

POLLED_ENDPOINTS_LIMIT = 16
"""Number of endpoints above which cache events are not polled.

Polling more would cost the router too much control traffic. Above this number, the
router knows only the prefixes of requests that it routed itself.
"""

CACHE_POLL_TIMEOUT_SECONDS = 2.0


class CacheFollower:
    """Polls the cache events of an engine and records them in the prefix index.

    The index lets requests be routed to an engine that has their prompt cached.
    """

    def __init__(
        self, context: RouterContext, directory: EndpointDirectory, name: EndpointName
    ) -> None:
        self._context = context
        self._directory = directory
        self._name = name
        self._last_sequence = 0

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            if len(self._directory.names()) <= POLLED_ENDPOINTS_LIMIT:
                await self.poll()
            await anyio.sleep(
                CACHE_POLL_INTERVAL_SECONDS * self._context.rng.uniform(0.8, 1.2)
            )

    async def poll(self) -> None:
        """Apply the events since the last poll; none if the engine does not reply."""
        engine = self._directory.engine(self._name)
        if engine is None:
            return
        try:
            with anyio.fail_after(CACHE_POLL_TIMEOUT_SECONDS):
                events = await engine.cache_events(self._last_sequence)
        except (EndpointError, TimeoutError):
            return
        for event in events:
            self._apply(event)

    def _apply(self, event: CacheEvent) -> None:
        self._last_sequence = max(self._last_sequence, event.sequence)
        now = self._context.clock()
        index = self._directory.prefixes
        record = index.stored if event.stored else index.evicted
        record(self._name, event.prefix, event.sequence, now)
