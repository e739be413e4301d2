"""Crash records of many hosts over a return of the store, in virtual time."""

from __future__ import annotations

import collections
import dataclasses
import random
import time
from collections.abc import Sequence
from typing import cast

import anyio
import anyio.abc
from nose2.tools import params

from knapweeddrum.message.call.crash_mark import CrashMark
from knapweeddrum.message.call.crash_record import CrashRecord
from knapweeddrum.platform.exceptions import LogUnavailableError
from knapweeddrum.platform.keyed_record import KeyedRecord
from knapweeddrum.platform.store_client import StoreClient
from knapweeddrum.platform.store_listing import StoreListing
from knapweeddrum.platform.store_page import StorePage
from knapweeddrum.platform.streams import CRASHES_STREAM
from knapweeddrum.process.entry.crash_record_reader import CrashRecordReader
from knapweeddrum.process.entry.crash_sharing import CrashSharing
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.peer_client import PeerClient
from knapweeddrum.process.entry.stream_follower import StreamFollower
from knapweeddrum.process.entry.stream_followers import (
    CRASHES_LONG_POLL_SECONDS,
    CRASHES_READ_INTERVAL_SECONDS,
)
from tests.process.entry.claim_race import (
    ClaimRacePlan,
    DistantStore,
    make_context,
    virtual_clock,
)
from tests.process.entry.return_day import HostStore, ReturningStore
from tools.budget_model.virtual_loop import run_virtual

RECORDS = 4
RECORDED_AFTER_SECONDS = 1.0
SETTLE_SECONDS = 4.0
AWAY_SECONDS = 0.5
PLAYED_SECONDS = 4.0
POLL_SECONDS = 0.05

SMALL_FLEET = 7
LARGE_WRITES_PER_SECOND = 1_500
LARGE_READS_PER_SECOND = 6_000
SMALL_WRITES_PER_SECOND = 600
SMALL_READS_PER_SECOND = 2_000
"""Rates of the store, as the files of the users' sites state them."""

MAX_REWRITTEN_SECONDS = 3.0
"""The stable window, within which all hosts must know of a crash."""


class CountedStore(HostStore):
    """Counts calls by second of the day; reads wait for records."""

    def __init__(self, day: CrashReturn) -> None:
        super().__init__(day.store, day.rng, 0.0)
        self._day = day

    async def append(
        self, name: str, records: Sequence[KeyedRecord], at: int | None = None
    ) -> int:
        self._day.writes[int(anyio.current_time())] += 1
        return await super().append(name, records, at)

    async def read(
        self,
        name: str,
        start: int,
        wait: float = 0.0,
        _on_late: object = None,
        _page_kb: int = 0,
    ) -> StorePage:
        self._day.reads[int(anyio.current_time())] += 1
        era = self._day.store.era
        page = await super().read(name, start)
        with anyio.move_on_after(wait):
            while not page.records:
                await anyio.sleep(POLL_SECONDS)
                if self._day.store.is_away or self._day.store.era != era:
                    raise LogUnavailableError("the store went away")
                page = await super().read(name, start)
        return page

    async def list_newest(self, name: str, _on_late: object = None) -> StoreListing:
        self._day.reads[int(anyio.current_time())] += 1
        return await super().list_newest(name)


class UnresponsivePeers:
    """No other host answers."""

    def is_unresponsive(self, _address: str) -> bool:
        return True


class CrashReturn:
    """All hosts know records of which the copy has none."""

    def __init__(self, hosts: int) -> None:
        self.hosts = hosts
        self.rng = random.Random(hosts)
        self.store = ReturningStore()
        self.writes: collections.Counter[int] = collections.Counter()
        self.reads: collections.Counter[int] = collections.Counter()
        self.returned_at = 0.0
        self.rewritten_after: float | None = None

    def play(self) -> CrashReturn:
        run_virtual(self._play)
        return self

    def most_after_return(self, calls: collections.Counter[int]) -> int:
        """Return the most calls in a second since the store was back."""
        return max(
            (n for at, n in calls.items() if at >= int(self.returned_at)), default=0
        )

    @property
    def appends_after_return(self) -> int:
        return sum(n for at, n in self.writes.items() if at >= int(self.returned_at))

    async def _play(self) -> None:
        with virtual_clock():
            async with anyio.create_task_group() as tasks:
                for number in range(self.hosts):
                    self._start(number, tasks)
                await anyio.sleep(SETTLE_SECONDS)
                assert len(self._stored()) == RECORDS
                self.store.is_away = True
                await anyio.sleep(AWAY_SECONDS)
                self.store.return_from_copy(2 * SETTLE_SECONDS)
                self.returned_at = anyio.current_time()
                with anyio.move_on_after(PLAYED_SECONDS):
                    while len(self._stored()) < RECORDS:
                        await anyio.sleep(POLL_SECONDS)
                    self.rewritten_after = anyio.current_time() - self.returned_at
                    await anyio.sleep_forever()
                tasks.cancel_scope.cancel()

    def _start(self, number: int, tasks: anyio.abc.TaskGroup) -> None:
        link = CountedStore(self)
        ctx = make_context(number, ClaimRacePlan(hosts=1), cast("DistantStore", link))
        ctx.settings = dataclasses.replace(ctx.settings, stable_window=3.0)
        reader = CrashRecordReader(ctx)
        sharing = CrashSharing(ctx, cast("PeerClient", UnresponsivePeers()), reader)
        follower = StreamFollower(
            cast("StoreClient", link),
            CRASHES_STREAM,
            reader,
            ctx.events,
            CRASHES_LONG_POLL_SECONDS,
            CRASHES_READ_INTERVAL_SECONDS,
        )
        tasks.start_soon(self._run, follower)
        tasks.start_soon(sharing.run)
        if not number:
            tasks.start_soon(self._record, ctx)

    async def _run(self, follower: StreamFollower) -> None:
        await anyio.sleep(self.rng.uniform(0.0, RECORDED_AFTER_SECONDS))
        await follower.run()

    async def _record(self, ctx: EntryContext) -> None:
        await anyio.sleep(RECORDED_AFTER_SECONDS)
        ctx.crash_register.merge(_records())

    def _stored(self) -> set[str]:
        return {record.key for record in self.store.streams[CRASHES_STREAM]}


def _records() -> list[CrashRecord]:
    now = time.time()
    return [
        CrashRecord(
            f"request-{number}",
            tuple(CrashMark(f"engine-{n}", now) for n in range(3)),
            0.0,
        )
        for number in range(RECORDS)
    ]


@params(SMALL_FLEET, 62, 370)
def test_crash_records_are_written_again_within_the_rates_of_the_store(hosts: int):
    """All hosts lack the same records at once; few of them need to write."""
    day = CrashReturn(hosts).play()
    writes = day.most_after_return(day.writes)
    reads = day.most_after_return(day.reads)
    figures = (hosts, day.rewritten_after, writes, reads, day.appends_after_return)
    print(figures)
    is_small = hosts == SMALL_FLEET
    assert writes <= (SMALL_WRITES_PER_SECOND if is_small else LARGE_WRITES_PER_SECOND)
    assert reads <= (SMALL_READS_PER_SECOND if is_small else LARGE_READS_PER_SECOND)
    assert day.rewritten_after is not None
    assert day.rewritten_after <= MAX_REWRITTEN_SECONDS
