from __future__ import annotations

import time

import anyio

from tests.async_test import async_test
from tests.process.entry.cold_day import COLD_PER_SECOND, MAX_IN_A_SECOND
from tests.process.entry.entry_harness import configuration
from tests.process.entry.limit_fleet import limit_fleet
from tests.standins.stamped_server import StampedServer

READ_SECONDS = 1.5
"""Time in which all hosts read the entry."""
SEND_SECONDS = 5.0


def _service(name: str) -> dict[str, object]:
    ramp = {"coldStartS": 20, "coldPerS": COLD_PER_SECOND}
    return {"name": name, "healthPath": "/health", "maxConnections": 50, **ramp}


@async_test
async def test_hosts_ramp_an_endpoint_that_its_entry_calls_cold():
    """Each of three hosts alone would send more than the endpoint takes."""
    servers = [StampedServer(f"stock-{n}", body=b"whole") for n in range(2)]
    cold, warm = servers
    async with limit_fleet(3, servers) as fleet:
        services = [_service("engine"), _service("stock")]
        fleet.store.put("keyed.op", "config", configuration(2, services=services))
        entry = cold.entry("stock", coldRemainingMs=60_000, seq=2)
        fleet.store.put("keyed.servers", cold.server_id, entry)
        await anyio.sleep(READ_SECONDS)
        begun = time.monotonic()
        fleet.call_interval = 0.05
        await fleet.send(SEND_SECONDS)
        times = [at for at in cold.arrival_times if at >= begun]
        most = max(sum(1 for at in times if 0 <= at - first < 1.0) for first in times)
        assert most <= MAX_IN_A_SECOND, most
        assert len([at for at in warm.arrival_times if at >= begun]) > len(times)
