from __future__ import annotations

import time
from typing import cast

import anyio

from knapweeddrum.http.client_connection import ClientConnection
from knapweeddrum.http.connection_pool import ConnectionPool
from tests.async_test import async_test

LIMIT = 10
CLOSE_SECONDS = 0.05


class SlowConnection:
    """A connection that takes a while to close."""

    def __init__(self) -> None:
        self.usable = True
        self.closed = False
        self.received_at = time.monotonic()

    def is_usable(self, now: float) -> bool:
        return self.usable

    def finish(self) -> bool:
        return True

    async def close(self) -> None:
        self.closed = True
        await anyio.sleep(CLOSE_SECONDS)


async def connect() -> ClientConnection:
    return cast("ClientConnection", SlowConnection())


async def idle_connections(pool: ConnectionPool, key: str, count: int) -> list:
    """Return idle connections of a server, the last released is used first."""
    found = [await pool.acquire(key, LIMIT, connect) for _ in range(count)]
    for conn in found:
        await pool.release(key, conn)
    return found


@async_test
async def test_connection_that_is_leased_during_a_sweep_is_not_offered_again():
    """The sweep waits for another connection to close (LOST, MIXED)."""
    pool = ConnectionPool(lambda _: None)
    (stale,) = await idle_connections(pool, "a", 1)
    (wanted,) = await idle_connections(pool, "b", 1)
    stale.usable = False
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(pool.sweep, ["a", "b"], time.monotonic())
        await anyio.sleep(CLOSE_SECONDS / 4)
        # What the watch of paths does, many times a second.
        await pool.close_idle(lambda _key, _conn: False)
        assert await pool.acquire("b", LIMIT, connect) is wanted
    assert pool.idle_keys() == frozenset()
    assert await pool.acquire("b", LIMIT, connect) is not wanted
    assert not wanted.closed


@async_test
async def test_connection_that_is_leased_beside_a_stale_one_is_not_offered_again():
    """One request waits for a stale connection to close, others take the rest."""
    pool = ConnectionPool(lambda _: None)
    wanted, stale = await idle_connections(pool, "a", 2)
    stale.usable = False
    leased = []

    async def lease() -> None:
        leased.append(await pool.acquire("a", LIMIT, connect))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(lease)
        await anyio.sleep(CLOSE_SECONDS / 4)
        await pool.close_idle(lambda _key, _conn: False)
        await lease()
    assert len(set(leased)) == len(leased) == 2
    assert wanted in leased
    assert not wanted.closed


@async_test
async def test_connections_as_silent_as_a_failed_one_are_not_offered_again():
    """The next call would wait in vain as well, until none is left (CONFIG, DRAIN)."""
    pool = ConnectionPool(lambda _: None)
    silent, heard = await idle_connections(pool, "a", 2)
    (other,) = await idle_connections(pool, "b", 1)
    called_at = time.monotonic()
    heard.received_at = called_at + 0.1
    await pool.close_silent("a", called_at)
    assert silent.closed
    assert await pool.acquire("a", LIMIT, connect) is heard
    assert await pool.acquire("a", LIMIT, connect) is not silent
    assert await pool.acquire("b", LIMIT, connect) is other
