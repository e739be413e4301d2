from __future__ import annotations

import asyncio
import socket
import unittest

from knapweeddrum.process.router.caller_server import listen
from tests.async_test import async_test
from tests.standins.serving import bind

check = unittest.TestCase()


async def _sends_at_once(listener: socket.socket) -> bool:
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
async def test_callers_get_each_part_at_once() -> None:
    """A part is sent without waiting for the acknowledgement of the one before."""
    check.assertTrue(await _sends_at_once(listen("127.0.0.1", 0)))


@async_test
async def test_stand_ins_send_each_part_at_once() -> None:
    """Times measured with stand-ins contain no delayed acknowledgements."""
    check.assertTrue(await _sends_at_once(bind("127.0.0.1", 0)))
