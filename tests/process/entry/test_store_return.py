from __future__ import annotations

import anyio

from tests.async_test import async_test
from tests.process.entry.return_fleet import PREPAID_TOKENS, return_fleet

COPY_AGE_SECONDS = 3.0
SPEND_SECONDS = 2.5
"""Shorter than the copy is old, so that it has no claim of a request."""
CLAIM_AGAIN_SECONDS = 5.0
OWNER = 2
"""Position of the host that claims the tokens for all."""
MIN_SERVED = 0.9
"""Part of what is prepaid that living hosts serve after one return."""


@async_test
async def test_claims_go_on_soon_after_the_store_returned_from_an_older_copy():
    """Within five seconds; all but a tenth of the prepaid tokens can be spent."""
    async with return_fleet() as fleet:
        await fleet.send(SPEND_SECONDS)
        await fleet.return_store(COPY_AGE_SECONDS)
        await fleet.send(CLAIM_AGAIN_SECONDS)
        assert 503 not in await fleet.send(1.0)
        with anyio.move_on_after(20.0):
            while 402 not in fleet.statuses:
                await fleet.send(1.0)
        assert MIN_SERVED * PREPAID_TOKENS <= fleet.tokens_run <= PREPAID_TOKENS


@async_test
async def test_host_killed_as_the_store_returns_lets_nobody_overspend():
    """What it had claimed and spent is known to the others."""
    async with return_fleet() as fleet:
        await fleet.send(SPEND_SECONDS)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(fleet.return_store, COPY_AGE_SECONDS)
            await anyio.sleep(0.4)
            await fleet.kill((OWNER,))
        fleet.remove(OWNER)
        for _ in range(16):
            await fleet.send(1.0)
        assert fleet.tokens_run <= PREPAID_TOKENS, fleet.tokens_run
        assert 200 in await fleet.send(1.0) or 402 in fleet.statuses


@async_test
async def test_last_host_claims_at_once_after_all_others_were_killed():
    """A process that has ended can be no witness, and lose nothing either."""
    async with return_fleet(2) as fleet:
        await fleet.send(1.0)
        await fleet.kill((0,))
        fleet.remove(0)
        statuses = await fleet.send(4.0)
        assert statuses.count(200) >= len(statuses) - 2, statuses


@async_test
async def test_fleet_replaced_after_the_store_returned_lets_nobody_overspend():
    """What the hosts knew is in the store again before they are replaced."""
    async with return_fleet() as fleet:
        await fleet.send(SPEND_SECONDS)
        await fleet.return_store(COPY_AGE_SECONDS)
        await fleet.send(1.0)
        await fleet.replace((0, 1, 2))
        for _ in range(16):
            await fleet.send(1.0)
        assert fleet.tokens_run <= PREPAID_TOKENS, fleet.tokens_run


@async_test
async def test_fleet_killed_before_the_store_returns_lets_nobody_overspend():
    """Nobody knows what was claimed since the copy, so nothing more is claimed."""
    async with return_fleet() as fleet:
        await fleet.send(SPEND_SECONDS)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(fleet.store.return_from_copy, COPY_AGE_SECONDS, 0.5)
            await fleet.kill((0, 1, 2))
        await fleet.replace((0, 1, 2))
        for _ in range(16):
            await fleet.send(1.0)
        assert fleet.tokens_run <= PREPAID_TOKENS, fleet.tokens_run
        assert fleet.statuses[-1] == 503
