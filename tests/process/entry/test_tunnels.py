from __future__ import annotations

import contextlib
import signal
import time
from collections.abc import AsyncIterator

import anyio

from tests.async_test import async_test
from tests.process.entry.cut_fleet import CutFleet, CutHost, cut_fleet
from tests.process.entry.entry_harness import Answer
from tests.standins.network_link import Cut
from tests.standins.stamped_server import StampedServer

STREAM_EVENTS = 20
EVENT_GAP_SECONDS = 0.1
STREAMS = 2
"""Streams at a time, all of which the retry budget lets go on elsewhere."""

NOTICE_SECONDS = 0.5
"""Time in which an endpoint learns that a caller has left."""

REFUSAL_SECONDS = 1.0
"""Time in which a request that nobody can serve is refused."""


def engine(name: str = "engine-1", events: int = STREAM_EVENTS) -> StampedServer:
    """Return an engine whose streams take two seconds, or less with fewer events."""
    server = StampedServer(name, events=events)
    server.event_gap = EVENT_GAP_SECONDS
    return server


def whole_stream(events: int = STREAM_EVENTS) -> bytes:
    """Return the body of a whole stream."""
    numbers = range(1, events + 1)
    return b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in numbers)


async def lose_paths(fleet: CutFleet, host: CutHost) -> None:
    """Cut a host off by resets and wait until it uses the others."""
    host.cut(Cut.RESET)
    with anyio.fail_after(5.0):
        while len(host.process.events("path_lost")) < len(host.links):
            for path in ("/query/1", "/read/1"):
                await fleet.call(host, path)


@contextlib.asynccontextmanager
async def streams(
    fleet: CutFleet, host: CutHost, path: str
) -> AsyncIterator[list[Answer]]:
    """Begin streams at a host, run the body, and wait for their answers."""
    answers: list[Answer] = []

    async def call(number: int) -> None:
        attempt = f"stream-{number}"
        answers.append(await host.process.call(path, attempt=attempt, tokens="35,30"))

    async with anyio.create_task_group() as tasks:
        for number in range(STREAMS):
            tasks.start_soon(call, number)
        await anyio.sleep(3 * EVENT_GAP_SECONDS)
        yield answers


@async_test
async def test_endpoint_behind_another_host_learns_that_a_caller_has_left():
    """The host that passes the answer on closes its connection too."""
    server, stock = engine(), StampedServer("stock-1")
    async with cut_fleet(2, engines=(server,), services=(stock,)) as fleet:
        host = fleet.hosts[0]
        await lose_paths(fleet, host)
        cancelled = server.cancelled
        with anyio.move_on_after(0.5):
            await host.process.call("/draft/1", attempt="left", tokens="35,30")
        with anyio.fail_after(NOTICE_SECONDS):
            while server.cancelled == cancelled:
                await anyio.sleep(0.01)


@async_test
async def test_streams_survive_the_kill_of_the_host_that_passes_them_on():
    """They go on at the event where they broke off, through the other host."""
    servers = (engine("engine-1"), engine("engine-2"))
    stock = StampedServer("stock-1")
    async with cut_fleet(3, engines=servers, services=(stock,)) as fleet:
        host = fleet.hosts[0]
        await lose_paths(fleet, host)
        async with streams(fleet, host, "/query/1") as answers:
            fleet.hosts[1].process.send_signal(signal.SIGKILL)
        ended = host.process.events("endpoint_ended")
    assert [a.body for a in answers if a.is_complete] == [whole_stream()] * STREAMS
    assert ended == []


@async_test
async def test_streams_survive_the_freeze_of_the_host_that_passes_them_on():
    """Its connections stay open, and nothing comes on them."""
    servers = (engine("engine-1", events=12), engine("engine-2", events=12))
    stock = StampedServer("stock-1")
    async with cut_fleet(3, engines=servers, services=(stock,)) as fleet:
        host, frozen = fleet.hosts[:2]
        await lose_paths(fleet, host)
        async with streams(fleet, host, "/query/1") as answers:
            frozen.process.send_signal(signal.SIGSTOP)
        frozen.process.send_signal(signal.SIGCONT)
    assert [a.body for a in answers if a.is_complete] == [whole_stream(12)] * STREAMS


@async_test
async def test_stream_cut_with_the_host_that_passes_it_on_never_looks_complete():
    """One that can't go on elsewhere ends in a way that its caller notices."""
    server, stock = engine(), StampedServer("stock-1")
    async with cut_fleet(2, engines=(server,), services=(stock,)) as fleet:
        host = fleet.hosts[0]
        await lose_paths(fleet, host)
        async with streams(fleet, host, "/draft/1") as answers:
            fleet.hosts[1].process.send_signal(signal.SIGKILL)
    assert len(answers) == STREAMS
    assert not any(a.is_complete and a.status == 200 for a in answers)


@async_test
async def test_drain_of_the_host_that_passes_streams_on_cuts_none():
    """It waits for them as for its own."""
    server, stock = engine(), StampedServer("stock-1")
    async with cut_fleet(2, engines=(server,), services=(stock,)) as fleet:
        host = fleet.hosts[0]
        await lose_paths(fleet, host)
        async with streams(fleet, host, "/draft/1") as answers:
            fleet.hosts[1].process.send_signal(signal.SIGTERM)
    assert [a.body for a in answers if a.is_complete] == [whole_stream()] * STREAMS


@async_test
async def test_request_that_no_host_can_pass_on_is_refused_at_once():
    """No host asks a third one for another."""
    server, stock = engine(), StampedServer("stock-1")
    async with cut_fleet(3, engines=(server,), services=(stock,)) as fleet:
        for host in fleet.hosts:
            host.cut(Cut.RESET)
        for host in fleet.hosts:
            started_at = time.monotonic()
            assert await fleet.call(host, "/book/1") == 503
            assert time.monotonic() - started_at < REFUSAL_SECONDS
    assert (server.arrivals, stock.arrivals) == (0, 0)


@async_test
async def test_endpoints_that_are_all_gone_are_not_sought_through_other_hosts():
    """All hosts fail alike; requests are refused and none is passed on."""
    server, stock = engine(), StampedServer("stock-1")
    async with cut_fleet(3, engines=(server,), services=(stock,)) as fleet:
        for host in fleet.hosts:
            host.cut(Cut.RESET)
        await fleet.send(3.0)
        for host in fleet.hosts:
            assert host.process.events("path_lost") == []
            page = await host.process.get(host.process.metrics_address, "/metrics")
            assert b"tunnel.opened" not in page.body


@async_test
async def test_only_the_service_that_is_out_of_reach_is_reached_through_other_hosts():
    """The other one is in reach of the host itself."""
    server, stock = StampedServer("engine-1", events=2), StampedServer("stock-1")
    async with cut_fleet(2, engines=(server,), services=(stock,)) as fleet:
        host = fleet.hosts[0]
        await fleet.send(0.3)
        host.cut(Cut.SILENT, "stock")
        await fleet.send(2.0)
        answered = len(host.process.events("request_answered"))
        host.sent.clear()
        await fleet.send(1.0)
        await anyio.sleep(0.2)
        lines = host.process.events("request_answered")[answered:]
    ways = {(line["endpoint"], line["via"]) for line in lines}
    assert ways == {("engine-1", ""), ("stock-1", "host-1")}
    assert all(is_served for _, is_served in host.sent)


@async_test
async def test_endpoint_that_is_silent_for_a_second_loses_no_request():
    """It goes on with what it has; no host gives its connections up."""
    stocks = tuple(StampedServer(f"stock-{number}") for number in range(2))
    server = StampedServer("engine-1", events=2)
    async with cut_fleet(2, engines=(server,), services=stocks) as fleet:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(fleet.send, 4.0)
            await anyio.sleep(1.0)
            for host in fleet.hosts:
                host.links["stock"][0].cut(Cut.SILENT)
            await anyio.sleep(1.0)
            for host in fleet.hosts:
                host.links["stock"][0].restore()
        lost = [line for h in fleet.hosts for line in h.process.events("host_cut_off")]
    assert lost == []
    assert all(is_served for host in fleet.hosts for _, is_served in host.sent)


@async_test
async def test_links_that_are_reset_under_requests_blame_neither_them_nor_endpoints():
    """An endpoint that other hosts reach has not crashed."""
    servers = tuple(engine(f"engine-{number}") for number in range(2))
    stock = StampedServer("stock-1")
    async with cut_fleet(2, engines=servers, services=(stock,)) as fleet:
        host = fleet.hosts[0]
        async with streams(fleet, host, "/draft/1"):
            host.cut(Cut.RESET)
        await anyio.sleep(1.5)
        state = await host.process.get(host.process.metrics_address, "/state")
    assert host.process.events("endpoint_ended") == []
    assert b'"crashes":[]' in state.body.replace(b" ", b"")
