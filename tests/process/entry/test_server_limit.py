from __future__ import annotations

import time

from nose2.tools import params

from tests.async_test import async_test, run_async
from tests.process.entry.entry_harness import STABLE_WINDOW_MS
from tests.process.entry.limit_fleet import (
    WINDOW_SECONDS,
    allowed,
    limit_fleet,
    limited_endpoints,
)

REFUSED_WRITES_SECONDS = 14.0
DENSE_CALL_INTERVAL_SECONDS = 0.04
"""Time between two requests to a host that leaves many waiting for a gate to open."""
MIN_USED_WITHOUT_WRITES = 0.5


async def _play_refused_writes(hosts: int, endpoints: int, limit: float) -> None:
    servers = limited_endpoints(endpoints, limit)
    async with limit_fleet(hosts, servers) as fleet:
        await fleet.send(STABLE_WINDOW_MS / 1000)
        fleet.store.refuses_writes = True
        begun = time.monotonic()
        await fleet.send(REFUSED_WRITES_SECONDS)
        used = fleet.used(limit, begun, time.monotonic())
    assert fleet.worst_window() <= allowed(limit), fleet.worst_window()
    assert used >= MIN_USED_WITHOUT_WRITES, used


@params((4, 1, 1.0), (3, 3, 1.1))
def test_limit_holds_while_the_store_refuses_writes(
    hosts: int, endpoints: int, limit: float
):
    """No host takes itself for the only one because heartbeats don't get through."""
    run_async(_play_refused_writes, hosts, endpoints, limit)


async def _play_refusals(hosts: int, endpoints: int, limit: float) -> None:
    servers = limited_endpoints(endpoints, limit)
    for server in servers:
        server.refuses_each = 5
    async with limit_fleet(hosts, servers) as fleet:
        fleet.call_interval = DENSE_CALL_INTERVAL_SECONDS
        await fleet.send(STABLE_WINDOW_MS / 1000 + 3 * WINDOW_SECONDS)
    assert fleet.worst_window() <= allowed(limit), fleet.worst_window()


@params((4, 3, 3.0), (3, 3, 1.1))
def test_refusal_that_names_no_limit_does_not_end_the_limit(
    hosts: int, endpoints: int, limit: float
):
    """An endpoint that has not begun the work says nothing of its limit."""
    run_async(_play_refusals, hosts, endpoints, limit)


@async_test
async def test_endpoint_that_names_a_limit_gets_no_more_than_that_from_all_hosts():
    """From the stable window after it first named it, no four seconds hold more."""
    limit = 1.0
    async with limit_fleet(2, limited_endpoints(1, limit)) as fleet:
        await fleet.send(STABLE_WINDOW_MS / 1000 + WINDOW_SECONDS + 1.0)
    assert fleet.worst_window() <= allowed(limit), fleet.worst_window()
