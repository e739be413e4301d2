from __future__ import annotations

from tests.async_test import async_test
from tests.process.entry.limit_fleet import limit_fleet
from tests.standins.brittle_server import BrittleServer

ENDPOINTS = 3
ROOM = 4
WORK_SECONDS = 0.1
BEARABLE = 5
CALM_INTERVAL_SECONDS = 0.05
BURST_FACTOR = 2.5


@async_test
async def test_endpoints_that_say_they_are_brittle_are_not_pushed_over():
    """In a burst all hosts together turn to others, or refuse, in time."""
    servers = [
        BrittleServer(f"stock-{number}", ROOM, WORK_SECONDS, BEARABLE)
        for number in range(ENDPOINTS)
    ]
    async with limit_fleet(4, servers) as fleet:
        fleet.call_interval = CALM_INTERVAL_SECONDS
        await fleet.send(3.0)
        for server in servers:
            server.falls = 0
        fleet.call_interval = CALM_INTERVAL_SECONDS / BURST_FACTOR
        await fleet.send(6.0)
    falls = sum(server.falls for server in servers)
    assert falls <= 2 + ENDPOINTS / 10, falls
