from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio.abc

from knapweeddrum.core.catalog.endpoint_entry import EndpointEntry
from knapweeddrum.core.routing.life_sign import LifeSign
from knapweeddrum.process.entry.endpoint_connector import DirectConnector
from knapweeddrum.process.entry.endpoint_probe import ask_life_sign
from tests.async_test import async_test
from tests.standins.stamped_server import StampedServer, reset_when_closed
from tests.standins.tcp_serving import serving
from tools.free_ports import free_ports


async def close(stream: anyio.abc.SocketStream) -> None:
    """End a connection in good order."""
    await stream.aclose()


async def reset(stream: anyio.abc.SocketStream) -> None:
    """Reset a connection."""
    reset_when_closed(stream)
    await stream.aclose()


async def keep_open(stream: anyio.abc.SocketStream) -> None:
    """Keep a connection open without a reply."""
    await anyio.sleep_forever()


async def life_sign_at(address: str, *, by_report: bool) -> LifeSign:
    """Return the sign of life of whatever has an address."""
    entry = EndpointEntry("e-1", "engine", address, "a", 8)
    return await ask_life_sign(DirectConnector(), entry, by_report=by_report)


async def sign_of(
    handle: Callable[[anyio.abc.SocketStream], Awaitable[None]],
) -> LifeSign:
    """Return the sign of life of a server that handles connections so."""
    async with serving(handle) as address:
        return await life_sign_at(address, by_report=True)


@async_test
async def test_endpoint_that_answers_in_any_way_replies():
    """Neither the status nor the body of the reply matters."""
    async with StampedServer("e-1").serve() as address:
        assert await life_sign_at(address, by_report=True) is LifeSign.REPLIED


@async_test
async def test_endpoint_without_a_reply_is_told_by_its_connection():
    """A connection that ends is no sign of life by itself."""
    assert await sign_of(keep_open) is LifeSign.KEPT_OPEN
    assert await sign_of(close) is LifeSign.ACCEPTED
    assert await sign_of(reset) is LifeSign.ACCEPTED


@async_test
async def test_endpoint_that_is_gone_refuses():
    """Nobody listens there."""
    (port,) = free_ports(1)
    for by_report in (False, True):
        sign = await life_sign_at(f"127.0.0.1:{port}", by_report=by_report)
        assert sign is LifeSign.REFUSED


@async_test
async def test_endpoint_that_is_not_asked_for_a_report_gets_no_request():
    """A plain service may take it for a request of a caller."""
    server = StampedServer("s-1")
    async with server.serve() as address:
        sign = await life_sign_at(address, by_report=False)
        assert sign is LifeSign.ACCEPTED
    assert (server.reports, server.arrivals) == (0, 0)
