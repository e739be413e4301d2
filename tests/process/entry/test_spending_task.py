from __future__ import annotations

import json
from typing import cast

import anyio

from knapweeddrum.http.connection_pool import ConnectionPool
from knapweeddrum.platform.keyed_record import KeyedRecord
from knapweeddrum.platform.spending_codec import spending_stream
from knapweeddrum.platform.store_client import StoreClient
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.spending_task import SpendingTask
from tests.async_test import async_test
from tests.process.entry.claim_race import (
    LARGE,
    ClaimRacePlan,
    DistantStore,
    make_context,
)
from tests.standins.platform_store import PlatformStore


def make_holder(store_address: str) -> EntryContext:
    """Return the context of a host that has claimed 10,000 tokens and spent 1,000."""
    pool = ConnectionPool(lambda _: None)
    client = StoreClient(store_address, pool)
    ctx = make_context(0, ClaimRacePlan(hosts=1), cast("DistantStore", client))
    account = ctx.token_accounts.account(LARGE, 0.0)
    account.confirmed = account.intended = account.unlocked = 10_000
    account.spent = 1_000
    return ctx


def stored_limit(store: PlatformStore) -> int:
    """Return the limit that the host has written."""
    stream = store.stream(spending_stream("host-0"))
    value = json.loads(stream.newest["host-0/1"][1])
    return int(value["limits"][0][1])


@async_test
async def test_record_is_written_though_another_host_wrote_to_its_stream():
    """Hosts share streams; the end that a host knows is often out of date."""
    store = PlatformStore()
    async with store.serve() as address, anyio.create_task_group() as tasks:
        ctx = make_holder(address)
        task = SpendingTask(ctx)
        tasks.start_soon(task.run)
        stream = spending_stream("host-0")
        while not store.stream(stream).newest:
            await anyio.sleep(0.02)
        for round_number in range(3):
            await ctx.store.append(stream, [KeyedRecord("other/1", b"{}")])
            wanted = 2_000 * (round_number + 1)
            await task.renew({LARGE: wanted})
            account = ctx.token_accounts.account(LARGE, 0.0)
            assert account.free >= wanted
            account.reserved = 0
        tasks.cancel_scope.cancel()
    assert stored_limit(store) >= 7_000


@async_test
async def test_limit_holds_while_the_store_refuses_records():
    """What no record allows is not spent; the next incarnation relies on it."""
    store = PlatformStore()
    async with store.serve() as address, anyio.create_task_group() as tasks:
        ctx = make_holder(address)
        task = SpendingTask(ctx)
        tasks.start_soon(task.run)
        while not store.stream(spending_stream("host-0")).newest:
            await anyio.sleep(0.02)
        store.refuses_writes = True
        await task.renew({LARGE: 9_000})
        account = ctx.token_accounts.account(LARGE, 0.0)
        assert account.spent + account.free <= stored_limit(store)
        assert not account.reserve(9_000)
        store.refuses_writes = False
        with anyio.fail_after(3):
            while not account.reserve(9_000):
                await task.renew({LARGE: 9_000})
                await anyio.sleep(0.05)
        tasks.cancel_scope.cancel()
    assert stored_limit(store) >= 10_000
