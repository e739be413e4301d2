from __future__ import annotations

import time

from tests.async_test import async_test
from tests.process.entry.cut_fleet import (
    SETTLE_SECONDS,
    CutFleet,
    cut_fleet,
    is_far_worse,
)
from tests.standins.network_link import Cut
from tests.standins.stamped_server import StampedServer

MEASURED_SECONDS = 3.0


def endpoints(service: str) -> tuple[StampedServer, ...]:
    """Return three endpoints of a service."""
    events = 3 if service == "engine" else 0
    return tuple(
        StampedServer(f"{service}-{number}", events=events, body=b"done")
        for number in range(3)
    )


async def send_through_a_cut(fleet: CutFleet, cut_count: int, how: Cut) -> float:
    """Cut hosts off while requests go on; return from when on it counts."""
    cut_at = time.monotonic()
    for host in fleet.hosts[:cut_count]:
        host.cut(how)
    await fleet.send(SETTLE_SECONDS + MEASURED_SECONDS)
    return cut_at + SETTLE_SECONDS


async def check_cut(cut_count: int, how: Cut) -> None:
    """Cut off some of four hosts and check what their callers get."""
    engines, services = endpoints("engine"), endpoints("stock")
    async with cut_fleet(4, engines=engines, services=services) as fleet:
        await fleet.send(0.5)
        since = await send_through_a_cut(fleet, cut_count, how)
    cut, others = fleet.hosts[:cut_count], fleet.hosts[cut_count:]
    told = [host.served(since) for host in fleet.hosts]
    assert not is_far_worse(cut, others, since), told


@async_test
async def test_callers_of_hosts_whose_links_went_silent_are_served():
    """Connections to endpoints hang and new ones aren't answered at half the hosts."""
    await check_cut(2, Cut.SILENT)


@async_test
async def test_callers_of_nearly_all_hosts_are_served_when_these_are_cut_off():
    """One host of four reaches the endpoints."""
    await check_cut(3, Cut.SILENT)


@async_test
async def test_callers_of_hosts_whose_links_were_reset_are_served():
    """Connections to endpoints are reset and new ones refused at half the hosts."""
    await check_cut(2, Cut.RESET)


@async_test
async def test_callers_of_hosts_that_keep_their_open_connections_are_served():
    """Only new connections to endpoints are refused at half the hosts."""
    await check_cut(2, Cut.NEW_REFUSED)


@async_test
async def test_callers_are_served_when_links_are_cut_again_after_a_moment():
    """The links of half the hosts come back for a second in between."""
    engines, services = endpoints("engine"), endpoints("stock")
    async with cut_fleet(4, engines=engines, services=services) as fleet:
        await fleet.send(0.5)
        await send_through_a_cut(fleet, 2, Cut.SILENT)
        for host in fleet.hosts[:2]:
            host.restore()
        await fleet.send(1.0)
        since = await send_through_a_cut(fleet, 2, Cut.SILENT)
    told = [host.served(since) for host in fleet.hosts]
    assert not is_far_worse(fleet.hosts[:2], fleet.hosts[2:], since), told
