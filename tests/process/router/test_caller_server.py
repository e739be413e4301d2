from __future__ import annotations

import asyncio
import socket
import unittest

from knapweeddrum.process.router.caller_server import listen
from tests.async_test import async_test
from tests.standins.serving import bind

assertions = unittest.TestCase()


async def _sends_without_delay(listener: socket.socket) -> bool:
    """Return whether connections to a listener have TCP_NODELAY set."""
    accepted: asyncio.Queue[asyncio.StreamWriter] = asyncio.Queue()
    server = await asyncio.start_server(
        lambda _reader, writer: accepted.put_nowait(writer), sock=listener
    )
    address, port = listener.getsockname()[:2]
    _, client = await asyncio.open_connection(address, port)
    writer = await accepted.get()
    sock = writer.get_extra_info("socket")
    option = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
    writer.close()
    client.close()
    server.close()
    await server.wait_closed()
    return bool(option)


@async_test
async def test_caller_listener_sends_without_delay() -> None:
    """A part is sent without waiting for the acknowledgement of the one before."""
    assertions.assertTrue(await _sends_without_delay(listen("127.0.0.1", 0)))


@async_test
async def test_stand_in_listener_sends_without_delay() -> None:
    """Times measured with stand-ins contain no delayed acknowledgements."""
    assertions.assertTrue(await _sends_without_delay(bind("127.0.0.1", 0)))
