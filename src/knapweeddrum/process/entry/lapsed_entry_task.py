"""Removes lapsed entries from the service list in time."""

from __future__ import annotations

import time

import anyio

from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.service_list_reader import ServiceListReader


class LapsedEntryTask:
    """Waits for entries that lapse, and removes them when their grace has passed.

    Reads of the service list alone would remove them up to one interval late.
    """

    def __init__(self, ctx: EntryContext, reader: ServiceListReader) -> None:
        self._ctx = ctx
        self._reader = reader

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            await self._reader.wait_for_lapse()
            lapses_at = self._ctx.service_list.lapses_at
            if lapses_at is not None:
                await anyio.sleep_until(lapses_at)
                self._reader.remove_lapsed(time.monotonic())
