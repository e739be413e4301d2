"""Troubles of the link to the store in series, that overlap: a soak by seeds.

KNAPWEED_LINK_SEEDS is the number of seeds.
"""

from __future__ import annotations

import os
import random
import time

import anyio

from tests.async_test import run_async
from tests.process.entry.entry_harness import EntryHarness, configuration
from tests.process.entry.test_full_link import (
    APPLY_SECONDS,
    LINK_BYTES_PER_SECOND,
    applied,
    host_behind_link,
    long_configuration,
)
from tests.standins.network_link import Cut, NetworkLink

SEEDS = range(int(os.environ.get("KNAPWEED_LINK_SEEDS", "2")))
TROUBLES = 8
PAUSE_SECONDS = (0.1, 1.0)
CUT_SECONDS = (0.3, 2.0)
RATES = (50_000.0, 100_000.0, 300_000.0, None)
STABLE_SECONDS = 4.0
"""Time of the settings after which a disturbance excuses nothing more."""


class LinkSoak:
    """Plays troubles of one seed, and versions of the configuration beside them."""

    def __init__(self, harness: EntryHarness, link: NetworkLink, seed: int) -> None:
        self._harness = harness
        self._link = link
        self._rng = random.Random(seed)
        self.version = 1

    async def play(self) -> None:
        """Play all troubles; then the link leaves little, and is stable."""
        for _ in range(TROUBLES):
            trouble = self._rng.choice(
                (self._limit, self._cut, self._silence, self._slow_down)
            )
            await trouble()
            self._put()
            await anyio.sleep(self._rng.uniform(*PAUSE_SECONDS))
        self._harness.store.reply_delay = 0.0
        self._link.bytes_per_second = LINK_BYTES_PER_SECOND

    def _put(self) -> None:
        """Put a version; one in two is long."""
        self.version += 1
        kind = self._rng.choice((configuration, long_configuration))
        self._harness.store.put("keyed.op", "config", kind(self.version))

    async def _limit(self) -> None:
        self._link.bytes_per_second = self._rng.choice(RATES)

    async def _cut(self) -> None:
        self._link.cut(self._rng.choice((Cut.SILENT, Cut.RESET)))
        await anyio.sleep(self._rng.uniform(*CUT_SECONDS))
        self._link.restore()

    async def _silence(self) -> None:
        self._harness.store.silence_open_connections()

    async def _slow_down(self) -> None:
        self._harness.store.reply_delay = self._rng.uniform(0.0, 0.24)


def test_last_configuration_is_in_force_in_time_after_troubles_of_the_link():
    """A host that had to begin again stayed at an older one (CONFIG)."""
    for seed in SEEDS:
        run_async(_play, seed)


async def _play(seed: int) -> None:
    async with host_behind_link(configuration()) as (harness, link):
        soak = LinkSoak(harness, link, seed)
        await soak.play()
        ended_at = time.monotonic()
        with anyio.move_on_after(2 * (STABLE_SECONDS + APPLY_SECONDS)):
            await applied(harness, soak.version)
        took = time.monotonic() - ended_at
        assert took < STABLE_SECONDS + APPLY_SECONDS, (seed, took)
        versions = [line["version"] for line in harness.events("config_applied")]
        assert versions == sorted(versions), seed
